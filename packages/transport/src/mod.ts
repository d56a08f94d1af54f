/** Connections between the processes of mallowlift. */

export * from "./address.ts";
export * from "./frame.ts";
export * from "./handlers.ts";
export * from "./connection.ts";
export * from "./handshake.ts";
export * from "./peer_link.ts";
export * from "./peer_links.ts";
export * from "./peer_server.ts";
export * from "./request_age.ts";
export * from "./request_queue.ts";
