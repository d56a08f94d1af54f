/** Creates the HTTP server and maps its own errors to result codes. */

import { type Request, type ResponseToolkit, Server } from "@hapi/hapi";
import {
  type CodedError,
  countRefusal,
  type Logger,
  type Metrics,
  type OrderedServer,
  RESULT_CODES,
  type ResultCode,
} from "@mallowlift/core";
import { answerError } from "./answer.ts";

const HTTP_STATUS = {
  BAD_REQUEST: 400,
  NOT_FOUND: 404,
  TOO_LARGE: 413,
  MEDIA_TYPE: 415,
};

/** Options of {@linkcode createHttpServer}. */
export interface HttpServerOptions {
  readonly host: string;
  readonly port: number;
  readonly listener: OrderedServer;
  readonly maxBodyBytes: number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

interface BoomResponse {
  readonly isBoom?: boolean;
  readonly output?: { readonly statusCode: number };
  readonly message?: string;
}

/** Creates a server that answers each of its own errors with a result code. */
export function createHttpServer(options: HttpServerOptions): Server {
  const server = new Server({
    host: options.host,
    port: options.port,
    listener: options.listener,
    compression: false,
    routes: {
      payload: {
        maxBytes: options.maxBodyBytes,
        output: "data",
        parse: true,
        allow: "application/json",
      },
      response: { emptyStatusCode: 204 },
    },
  });
  server.ext("onPreResponse", (request: Request, toolkit: ResponseToolkit) => {
    const response = request.response as BoomResponse;
    if (response.isBoom !== true) return toolkit.continue;
    const code = toResultCode(response.output?.statusCode ?? 0);
    countRefusal(options.metrics, "entry", code);
    if (code === RESULT_CODES.INTERNAL) {
      options.logger.error("Request failed with an internal error", {
        message: response.message,
      });
    }
    return answerError(toolkit, createResultError(code));
  });
  return server;
}

function toResultCode(status: number): ResultCode {
  if (status === HTTP_STATUS.NOT_FOUND) return RESULT_CODES.ROUTE_NOT_FOUND;
  if (status === HTTP_STATUS.TOO_LARGE) return RESULT_CODES.BODY_TOO_LARGE;
  if (status === HTTP_STATUS.BAD_REQUEST) return RESULT_CODES.MALFORMED_JSON;
  if (status === HTTP_STATUS.MEDIA_TYPE) return RESULT_CODES.MALFORMED_JSON;
  return RESULT_CODES.INTERNAL;
}

/**
 * Creates an error with the meaning of its code as message, since the server's
 * own message may quote content of the caller.
 */
function createResultError(code: ResultCode): CodedError {
  return { code, message: code.meaning };
}
