/** The HTTP server, and how its own errors become result codes. */

import { type Request, type ResponseToolkit, Server } from "@hapi/hapi";
import {
  type CodedError,
  countRefusal,
  type Logger,
  type Metrics,
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

/** What the server needs. */
export interface HttpServerOptions {
  readonly host: string;
  readonly port: number;
  readonly maxBodyBytes: number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

interface HttpFault {
  readonly isBoom?: boolean;
  readonly output?: { readonly statusCode: number };
  readonly message?: string;
}

/** Makes a server that answers every fault with a numbered result code. */
export function createHttpServer(options: HttpServerOptions): Server {
  const server = new Server({
    host: options.host,
    port: options.port,
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
    const response = request.response as HttpFault;
    if (response.isBoom !== true) return toolkit.continue;
    const code = findCode(response.output?.statusCode ?? 0);
    countRefusal(options.metrics, "entry", code);
    if (code === RESULT_CODES.INTERNAL) {
      options.logger.error("Request failed inside", {
        message: response.message,
      });
    }
    return answerError(toolkit, describeFault(code));
  });
  return server;
}

function findCode(status: number): ResultCode {
  if (status === HTTP_STATUS.NOT_FOUND) return RESULT_CODES.ROUTE_NOT_FOUND;
  if (status === HTTP_STATUS.TOO_LARGE) return RESULT_CODES.BODY_TOO_LARGE;
  if (status === HTTP_STATUS.BAD_REQUEST) return RESULT_CODES.MALFORMED_JSON;
  if (status === HTTP_STATUS.MEDIA_TYPE) return RESULT_CODES.MALFORMED_JSON;
  return RESULT_CODES.INTERNAL;
}

/** The fault's own message may quote the caller's content, so it is not used. */
function describeFault(code: ResultCode): CodedError {
  return { code, message: code.meaning };
}
