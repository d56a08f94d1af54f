/** Routes and services like those of the small sites; see PROTOCOL.md, "The operator's API". */
export const HOST = "wuny96.example";
export const streamRoute = (more = {}) => ({
  name: "r-turns", host: HOST, pathPrefix: "/turns/", kind: "stream", timeoutMs: 4_000, targetLatencyMs: 200,
  priority: 0, service: "agents", maxAttempts: 2, retainContext: true, retentionS: 60.0, sessionAffinity: true,
  resumable: false, gapAimMs: 300, ...more,
});
export const plainRoute = (more = {}) => ({
  name: "r-plain", host: HOST, pathPrefix: "/plain/", kind: "unsafe", timeoutMs: 4_000, targetLatencyMs: 800,
  priority: 2, service: "app", maxAttempts: 1, ...more,
});
export const SERVICES = [
  {
    name: "agents", healthPath: "/health", maxConnections: 390, protocol: "h1", tls: false,
    engine: { slots: 64, kvCapacity: 342_837, kvTokenBytes: 18_432, linkMbps: 370_000.0, moves: true, backups: true, tokensPerEvent: 4, most: 12, pinMs: 4_000.0, holdMs: 2_000.0, handle_s: 5.0, models: [{ name: "m" }] },
  },
  { name: "app", healthPath: "/health", maxConnections: 130, protocol: "h1", tls: false },
];
export const SITE_SERVICES = [{ name: "agents", servers: 3, slots: 64 }, { name: "app", servers: 3, slots: 6 }];

let ids = 0;
export const newId = () => (Date.now().toString(16) + (++ids).toString(16).padStart(5, "0")).slice(-16);
/** Headers of a turn, as PROTOCOL.md, "Agent programs". */
export const turnHeaders = ({ id, program, previous, deadlineMs = 4_000, budget, most = 200 }) => ({
  "Host": HOST, "Mallowlift-Request-Id": id, "Mallowlift-Program-Id": program, "Mallowlift-Session-Id": `s${program}`,
  "Mallowlift-Finish-Ms": 60_000, "Mallowlift-Deadline-Ms": deadlineMs, "Mallowlift-Model-Id": "m",
  "Mallowlift-Token-Count": `1460,${most}`, "Mallowlift-Prompt-Prefix": "5c1e07a2:800,91bd3f06:410",
  ...(budget === undefined ? {} : { "Mallowlift-Token-Budget": budget }),
  ...(previous === undefined ? {} : { "Mallowlift-Previous-Turn": previous }),
});
