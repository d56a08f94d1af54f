/**
 * Serves callers over HTTP. It uses Node's own server so that requests and
 * answers pass through unchanged; the routing, parsing and header defaults of a
 * framework would alter them.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { performance } from "node:perf_hooks";
import { HeldPort } from "@mallowlift/boot";
import {
  type CodedError,
  countRefusal,
  fail,
  type Logger,
  type Metrics,
  OrderedResponse,
  OrderedServer,
  type Outcome,
  RESULT_CODES,
  type ResultCode,
  type RoutingLimits,
  sleep,
} from "@mallowlift/core";
import { parseAddress } from "@mallowlift/transport";
import { Err, Ok } from "ts-results";
import { createDrainingError } from "../calls/describe_abort.ts";
import { OpenCall } from "../calls/open_call.ts";
import type { UnreadAnswers } from "../calls/unread_answers.ts";
import type { CallerDialect, CallFacts, CallHead } from "../dialect.ts";
import type { RequestBody } from "../memory/request_body.ts";
import { chooseService, type RouteTable } from "../routing/route_table.ts";
import {
  type Admission,
  describeRequest,
  type KeyAdmission,
  STALE_RETRY_MILLISECONDS,
} from "../workspaces/key_admission.ts";
import { WorkspaceFailures } from "../workspaces/workspace_failures.ts";
import { CallerStop, type WaitingRequest } from "./caller_stop.ts";
import { refuseRequest } from "./refuse_request.ts";
import type { RequestBodies } from "./request_bodies.ts";
import { StopSchedule } from "./stop_schedule.ts";

/**
 * Largest head of a request, bytes; the limit of the routing document is
 * checked as well.
 */
const MAX_HEADER_BYTES = 65_536;
/** Limits before the first routing document is in force. */
const INITIAL_LIMITS: RoutingLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMilliseconds: 3_000,
  idleTimeoutMilliseconds: 15_000,
};
/** Poll interval for open requests during a stop, ms. */
const STOP_POLL_MILLISECONDS = 25;
/**
 * Successive polls without an open request after which the remaining connections are
 * closed: a request may still be on its way on one of them.
 */
const STOP_QUIET_POLLS = 2;

/** Refusals after which the rest of the body is not worth its connection. */
const CLOSING_CODES: ReadonlySet<ResultCode> = new Set([
  RESULT_CODES.BODY_TOO_LARGE,
  RESULT_CODES.BODY_TIMEOUT,
]);

/** Options of {@linkcode CallerServer}. */
export interface CallerServerOptions {
  readonly listen: string;
  /**
   * Port that was opened at the start of the process; if missing, `start` opens
   * one.
   */
  readonly heldPort?: HeldPort | undefined;
  readonly maxRequests: number;
  readonly dialect: CallerDialect;
  readonly getRoutes: () => RouteTable | undefined;
  readonly admission: KeyAdmission;
  readonly bodies: RequestBodies;
  readonly run: (call: OpenCall) => Promise<void>;
  /** Unread bytes of all calls. */
  readonly unread: UnreadAnswers<OpenCall>;
  readonly random: () => number;
  /** Returns the time since the instance list was read, ms. */
  readonly findListAge: (now: number) => number;
  /**
   * Returns the time since a quorum confirmed that the document in force is the
   * newest, ms.
   */
  readonly findDocumentAge: (now: number) => number;
  /** Time that a service usually takes, ms; 0 if it is not known. */
  readonly findUsualTime: (service: string, now: number) => number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** A request in its turn on its connection. */
interface ArrivedRequest extends WaitingRequest {
  readonly response: OrderedResponse;
}

/** HTTP server of a gateway for its callers. */
export class CallerServer {
  readonly #options: CallerServerOptions;
  readonly #server: OrderedServer;
  readonly #failures: WorkspaceFailures;
  readonly #openCalls = new Set<OpenCall>();
  /** Requests that were read but not admitted yet. */
  readonly #waiting = new Set<WaitingRequest>();
  #connections = 0;
  #stop: CallerStop | undefined;

  constructor(options: CallerServerOptions) {
    this.#options = options;
    this.#failures = new WorkspaceFailures(options.metrics);
    this.#server = new OrderedServer({
      part: "gateway",
      http: { maxHeaderSize: MAX_HEADER_BYTES, keepAlive: true, noDelay: true },
      logger: options.logger,
      metrics: options.metrics,
    });
    this.#server.on("request", (request, response) => {
      if (response instanceof OrderedResponse) {
        void this.#serve(request, response);
      }
    });
    this.#server.on("connection", (socket: Socket) => {
      this.#connections++;
      socket.once("close", () => this.#connections--);
    });
    this.#applyLimits(INITIAL_LIMITS);
  }

  /** Number of calls that were admitted and are not answered yet. */
  get openCalls(): number {
    return this.#openCalls.size;
  }

  /**
   * Starts to serve, including connections that were accepted before; returns
   * the port.
   */
  async start(): Promise<number> {
    const { listen, heldPort } = this.#options;
    const held = heldPort ?? await HeldPort.open(parseAddress(listen));
    const { waiting, port } = held;
    await held.handOver(this.#server);
    if (waiting > 0) {
      this.#options.logger.info("Connections accepted before the start", {
        connections: waiting,
      });
    }
    return port;
  }

  /**
   * Announces a stop. Requests that cannot be finished before its end, by the
   * local clock, ms, are refused from now on, and all that are unanswered
   * shortly before it get a final answer.
   */
  beginStop(endAt: number): CallerStop {
    if (this.#stop !== undefined) return this.#stop;
    const now = performance.now();
    const stop = new CallerStop(new StopSchedule(now, endAt), this.#options);
    this.#stop = stop;
    this.#server.endConnections();
    setTimeout(
      () =>
        void stop.answerOpen(this.#openCalls, this.#waiting, performance.now()),
      Math.ceil(stop.schedule.answersAt - now),
    );
    return stop;
  }

  /**
   * Keeps serving for the minimum time, in which the load balancer removes the
   * gateway. Then it accepts no new connections, and waits for the open requests
   * up to the end, by the local clock, ms.
   */
  async stop(times: {
    readonly minMilliseconds: number;
    readonly endAt: number;
  }): Promise<void> {
    const stop = this.beginStop(times.endAt);
    const { beganAt, endAt } = stop.schedule;
    const closesAt = Math.min(beganAt + times.minMilliseconds, endAt);
    this.#server.closeIdleConnections();
    while (performance.now() < closesAt) await sleep(STOP_POLL_MILLISECONDS);
    let isClosed = false;
    this.#server.close(() => isClosed = true);
    let quietPolls = 0;
    while (
      !isClosed && quietPolls < STOP_QUIET_POLLS && performance.now() < endAt
    ) {
      this.#server.closeIdleConnections();
      await sleep(STOP_POLL_MILLISECONDS);
      quietPolls = this.#server.openRequests > 0 ? 0 : quietPolls + 1;
    }
    // Nothing is awaited since the last check, so no open request is aborted here
    // before the end.
    const now = performance.now();
    for (const call of this.#openCalls) stop.breakOff(call, now);
    stop.logEnd(this.#connections, now);
    this.#server.closeAllConnections();
  }

  async #serve(
    request: IncomingMessage,
    response: OrderedResponse,
  ): Promise<void> {
    const { arrivedAt } = response;
    response.sendDate = false;
    response.on("error", () => response.destroy());
    const waiting = { request, response, arrivedAt };
    this.#waiting.add(waiting);
    const call = await this.#openCall(waiting);
    if (call.err) this.#refuse(request, response, call.val);
    this.#waiting.delete(waiting);
    if (call.err) return;
    // A complete answer may still have to be sent when its call has ended.
    if (!response.closed) {
      this.#openCalls.add(call.val);
      response.once("close", () => this.#openCalls.delete(call.val));
    }
    try {
      await this.#options.run(call.val);
    } catch (thrown) {
      const message = thrown instanceof Error ? thrown.stack : String(thrown);
      this.#options.logger.error("Call failed", { message });
      call.val.disconnect();
    }
    call.val.close();
    this.#recordEnd(call.val);
  }

  /**
   * Admits a request before its body is read, and again afterwards with the
   * document in force then.
   */
  async #openCall(parts: ArrivedRequest): Promise<Outcome<OpenCall>> {
    const { request } = parts;
    const { bodies, dialect } = this.#options;
    // Admission may wait for a newer document: callers retry only a few times,
    // and a document arrives soon after a start or a change. A gateway that
    // resumes after a pause requests it within milliseconds.
    const first = await this.#admit(parts);
    if (first.err) return first;
    const { limits } = first.val.table.document;
    this.#applyLimits(limits);
    const head = describeHead(request);
    const call = dialect.readCall(head);
    if (call.err) return call;
    const body = await bodies.read({
      ...parts,
      admission: first.val,
      facts: call.val,
    });
    if (body.err) return body;
    const admitted = await this.#admit(parts);
    const opened = admitted.err ? admitted : this.#createCall({
      ...parts,
      head,
      facts: call.val,
      body: body.val,
      admission: admitted.val,
    });
    if (opened.err) body.val.release(performance.now());
    else this.#stop?.recordAccepted();
    return opened;
  }

  /** Admits a request, unless a stop leaves too little time for it. */
  async #admit(parts: WaitingRequest): Promise<Outcome<Admission>> {
    // Nothing would answer a request that begins to wait after the final answers.
    if (this.#stop?.hasAnswered(performance.now()) === true) {
      return Err(createDrainingError());
    }
    const facts = describeRequest(parts.request);
    const admitted = await this.#options.admission.admit(facts);
    if (admitted.err) return admitted;
    const now = performance.now();
    const refusal = this.#stop?.findRefusal(parts, admitted.val, now);
    return refusal === undefined ? admitted : Err(refusal);
  }

  #createCall(parts: {
    readonly head: CallHead;
    readonly facts: CallFacts;
    readonly response: OrderedResponse;
    readonly arrivedAt: number;
    readonly body: RequestBody;
    readonly admission: Admission;
  }): Outcome<OpenCall> {
    const { head, facts, response, arrivedAt, body, admission } = parts;
    const { random, maxRequests } = this.#options;
    // Requests that were read after this one do not count against it.
    const { openRequests } = this.#server;
    if (Math.min(openRequests, response.openRequests) > maxRequests) {
      return fail(
        RESULT_CODES.OVERLOADED,
        RESULT_CODES.OVERLOADED.meaning,
        STALE_RETRY_MILLISECONDS,
      );
    }
    return Ok(
      new OpenCall({
        ...admission,
        head,
        facts,
        body,
        service: chooseService(admission.route, random()),
        response,
        unread: this.#options.unread,
        arrivedAt,
      }, performance.now()),
    );
  }

  #applyLimits(limits: RoutingLimits): void {
    this.#server.headersTimeout = limits.headerTimeoutMilliseconds;
    this.#server.keepAliveTimeout = limits.idleTimeoutMilliseconds;
  }

  #refuse(
    request: IncomingMessage,
    response: ServerResponse,
    error: CodedError,
  ): void {
    // The end of a stop may have answered it.
    if (response.headersSent) return;
    if (error.code === RESULT_CODES.DRAINING) this.#stop?.recordRefused();
    const { dialect, logger, metrics } = this.#options;
    countRefusal(metrics, "gateway", error.code);
    if (error.code === RESULT_CODES.CALLER_LEFT) return;
    const facts = dialect.readCall(describeHead(request));
    logger.info("Request refused", {
      call: facts.ok ? facts.val.callId : "",
      program: facts.ok ? facts.val.programId : "",
      code: error.code.name,
      reason: error.message,
      target: request.url,
      version: this.#options.getRoutes()?.document.version ?? -1,
      document_age_ms: this.#findDocumentAge(),
    });
    if (CLOSING_CODES.has(error.code)) {
      response.setHeader("Connection", "close");
    }
    const limits = this.#options.getRoutes()?.document.limits ?? INITIAL_LIMITS;
    refuseRequest(request, response, {
      answer: dialect.writeFailure(error),
      maxBytes: limits.maxBodyBytes,
    });
  }

  #recordEnd(call: OpenCall): void {
    const { logger, metrics } = this.#options;
    const { facts, route, table, workspace, arrivedAt } = call.parts;
    const { status, code, upstream, sends, events, received } = call.summary;
    const milliseconds = Math.round(performance.now() - arrivedAt);
    metrics.calls.inc({ kind: route.kind, code });
    metrics.callSeconds.observe({ kind: route.kind }, milliseconds / 1_000);
    if (workspace !== undefined && code !== RESULT_CODES.OK.name) {
      this.#failures.record(workspace.name, code);
    }
    logger.info("Call ended", {
      call: facts.callId,
      program: facts.programId,
      previous: facts.previousTurnId,
      workspace: workspace?.name ?? "",
      route: route.name,
      version: table.document.version,
      upstream,
      sends,
      events,
      framing: received?.framing ?? "",
      answer_bytes: received?.bytes ?? 0,
      status,
      code,
      milliseconds,
      list_age_ms: Math.round(this.#options.findListAge(performance.now())),
      document_age_ms: this.#findDocumentAge(),
    });
  }

  #findDocumentAge(): number {
    return Math.round(this.#options.findDocumentAge(performance.now()));
  }
}

function describeHead(request: IncomingMessage): CallHead {
  return {
    method: request.method ?? "GET",
    target: request.url ?? "/",
    headers: request.rawHeaders,
  };
}
