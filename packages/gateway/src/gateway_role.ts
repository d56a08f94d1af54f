/**
 * The gateway role: serves callers and operators, and routes calls to
 * upstreams.
 */

import { randomUUID } from "node:crypto";
import { performance } from "node:perf_hooks";
import type { Server } from "@hapi/hapi";
import type { HeldPort } from "@mallowlift/boot";
import {
  type Child,
  type Logger,
  type Metrics,
  OrderedServer,
  ROLES,
  type Settings,
  sleep,
} from "@mallowlift/core";
import type { Directory } from "@mallowlift/membership";
import type { HandlerTable, PeerLinks } from "@mallowlift/transport";
import { CallQueue } from "./calls/call_queue.ts";
import type { OpenCall } from "./calls/open_call.ts";
import { failCall, runPlainCall } from "./calls/run_plain_call.ts";
import { ProgramUrgency } from "./calls/program_urgency.ts";
import { runTurn, type TurnDependencies } from "./calls/run_turn.ts";
import { SendGate } from "./calls/send_gate.ts";
import { TurnCache } from "./calls/turn_cache.ts";
import { TurnPlacementRequests } from "./calls/turn_placement_requests.ts";
import { UnreadAnswers } from "./calls/unread_answers.ts";
import type { CallerDialect, OperatorDialect } from "./dialect.ts";
import { CallerServer } from "./http/caller_server.ts";
import { RequestBodies } from "./http/request_bodies.ts";
import { LoadReport } from "./load_report.ts";
import { ByteAccount } from "./memory/byte_account.ts";
import { TurnOutputs } from "./memory/turn_outputs.ts";
import {
  createOperatorServer,
  SiteOperations,
} from "./operators/operator_server.ts";
import { CallQuarantine } from "./quarantine/call_quarantine.ts";
import { createLoggedQuarantine } from "./quarantine/logged_quarantine.ts";
import type { Quarantine } from "./quarantine/quarantine.ts";
import { QuarantineExchange } from "./quarantine/quarantine_exchange.ts";
import { PermitPool } from "./quotas/permit_pool.ts";
import { DemandSparePolicy } from "./quotas/spare_policy.ts";
import { InstanceListFollower } from "./site/instance_list_follower.ts";
import { SiteClient } from "./site/site_client.ts";
import { SiteFollower } from "./site/site_follower.ts";
import { PromptMemory } from "./upstreams/prompt_memory.ts";
import { UnsentRequests } from "./upstreams/unsent_requests.ts";
import { UpstreamTable } from "./upstreams/upstream_table.ts";
import { KeyAdmission } from "./workspaces/key_admission.ts";

/**
 * Interval at which expired idle connections are closed and unread bytes are
 * measured.
 */
const CLEANUP_INTERVAL_MILLISECONDS = 250;
/** Largest age of a gateway's last heartbeat at which it is counted. */
const MAX_HEARTBEAT_AGE_MILLISECONDS = 5_000;
/** Time that open requests of operators get at a stop, ms. */
const OPERATOR_STOP_MILLISECONDS = 100;

/** Options of {@linkcode GatewayRole}. */
export interface GatewayRoleOptions {
  readonly settings: Settings;
  readonly links: PeerLinks;
  readonly directory: Directory;
  readonly callerDialect: CallerDialect;
  readonly operatorDialect: OperatorDialect;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  readonly random: () => number;
  /** Port for callers, if it was opened at the start of the process. */
  readonly heldPort?: HeldPort | undefined;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/**
 * Gateway of a site: owns the caller server, the operator server and the
 * followers of site state.
 */
export class GatewayRole implements Child {
  readonly name = "gateway";
  readonly #options: GatewayRoleOptions;
  readonly #follower: SiteFollower;
  readonly #instanceLists: InstanceListFollower;
  readonly #upstreams: UpstreamTable;
  readonly #admission: KeyAdmission;
  readonly #callerServer: CallerServer;
  readonly #operatorListener: OrderedServer;
  readonly #operatorServer: Server;
  readonly #parts: TurnDependencies;
  readonly #unread: UnreadAnswers<OpenCall>;
  readonly #quarantine: Quarantine;
  readonly #quarantineExchange: QuarantineExchange;
  readonly #load: LoadReport;
  readonly #calls: CallQueue;
  #wasReady = false;
  #cleanupTimer: NodeJS.Timeout | undefined;
  #gateways = { count: 1, at: -Infinity };

  constructor(options: GatewayRoleOptions) {
    this.#options = options;
    const { settings, links, directory, logger, metrics, random } = options;
    const { gateway } = settings;
    const client = new SiteClient({
      directory,
      links,
      callMilliseconds: gateway.storeCallMilliseconds,
    });
    this.#upstreams = new UpstreamTable(random, settings.daemon.failureDomain);
    this.#instanceLists = new InstanceListFollower({
      client,
      upstreams: this.#upstreams,
      staleMilliseconds: gateway.listStaleMilliseconds,
      logger: logger.forPart("follower"),
      metrics,
    });
    this.#follower = new SiteFollower({
      name: settings.daemon.name,
      client,
      lists: this.#instanceLists,
      holdMilliseconds: gateway.followMilliseconds,
      logger: logger.forPart("follower"),
    });
    this.#admission = new KeyAdmission({
      getRoutes: () => this.#follower.routes,
      isNewest: (now) => this.#follower.isNewest(now),
      findConfirmationAgeMilliseconds: (now) =>
        this.#follower.findConfirmationAge(now),
      waitForUpdate: (limit) => this.#follower.waitForUpdate(limit),
      waitMilliseconds: gateway.leaderWaitMilliseconds,
      revocationMilliseconds: gateway.revocationMilliseconds,
    });
    const permits = new PermitPool({
      name: `${settings.daemon.name} ${randomUUID()}`,
      client,
      policy: new DemandSparePolicy(),
      clock: () => performance.now(),
      sleep: (milliseconds) => sleep(milliseconds),
      random,
      metrics,
    });
    this.#unread = this.#createUnreadAnswers();
    const quarantineLogger = logger.forPart("quarantine");
    this.#quarantine = createLoggedQuarantine(gateway, quarantineLogger);
    this.#calls = new CallQueue({ metrics, random });
    this.#load = new LoadReport(logger.forPart("gateway"));
    this.#quarantineExchange = new QuarantineExchange({
      quarantine: this.#quarantine,
      directory,
      links,
      hasJoined: () =>
        Number.isFinite(this.#follower.findTimeSinceReply(performance.now())),
      random,
      logger: quarantineLogger,
    });
    const answers = new ByteAccount(gateway.answerTotalBytes);
    this.#parts = {
      settings: gateway,
      dialect: options.callerDialect,
      upstreams: this.#upstreams,
      promptMemory: new PromptMemory(),
      urgency: new ProgramUrgency(),
      quarantine: new CallQuarantine({
        quarantine: this.#quarantine,
        exchange: this.#quarantineExchange,
        connectMilliseconds: gateway.connectMilliseconds,
        logger: quarantineLogger,
        metrics,
      }),
      sendGate: new SendGate({
        admission: this.#admission,
        permits,
        terms: {
          windowSeconds: gateway.quotaWindowSeconds,
          overage: gateway.quotaOverage,
          slack: gateway.quotaSlack,
        },
        waitMilliseconds: gateway.leaderWaitMilliseconds,
      }),
      permits,
      answers,
      outputs: new TurnOutputs(answers),
      requests: new ByteAccount(gateway.requestTotalBytes),
      unsent: new UnsentRequests({
        upstreamBytes: gateway.unsentUpstreamBytes,
        totalBytes: gateway.unsentTotalBytes,
      }),
      logger: logger.forPart("calls"),
      metrics,
      countGateways: () => this.#countGateways(performance.now()),
      random,
      findListAgeMilliseconds: (now) => this.#instanceLists.findAge(now),
      client,
      cache: new TurnCache(gateway.historyBytes),
      getRoutes: () => this.#follower.routes,
      placement: new TurnPlacementRequests({
        isEnabled: gateway.sitePlacement === "auto",
        gateway: settings.daemon.name,
        failureDomain: settings.daemon.failureDomain,
        upstreams: this.#upstreams,
        countGateways: () => this.#countGateways(performance.now()),
      }),
    };
    this.#callerServer = new CallerServer({
      listen: gateway.callersListen,
      heldPort: options.heldPort,
      maxRequests: gateway.maxRequests,
      dialect: options.callerDialect,
      getRoutes: () => this.#follower.routes,
      admission: this.#admission,
      bodies: new RequestBodies({
        account: this.#parts.requests,
        stallMilliseconds: gateway.bodyStallMilliseconds,
        random,
        logger: logger.forPart("calls"),
      }),
      run: (call) => this.#run(call),
      unread: this.#unread,
      random,
      findListAge: (now) => this.#instanceLists.findAge(now),
      findDocumentAge: (now) => this.#follower.findConfirmationAge(now),
      findUsualTime: (service, now) =>
        this.#upstreams.findMedianTime(service, now),
      logger: logger.forPart("calls"),
      metrics,
    });
    this.#operatorListener = new OrderedServer({
      part: "operators",
      logger: logger.forPart("operators"),
      metrics,
    });
    this.#operatorServer = createOperatorServer({
      listener: this.#operatorListener,
      listen: gateway.operatorsListen,
      dialect: options.operatorDialect,
      actions: new SiteOperations(client, settings.network.maxFrameBytes),
    });
  }

  /** True if the state of the site is fresh enough to serve requests. */
  isHealthy(): boolean {
    const now = performance.now();
    const { staleMilliseconds } = this.#options.settings.gateway;
    const sinceReply = this.#follower.findTimeSinceReply(now);
    const isReady = this.#admission.areKeysAccepted(now) &&
      sinceReply < staleMilliseconds && this.#quarantineExchange.hasLearned;
    if (isReady !== this.#wasReady) {
      this.#wasReady = isReady;
      this.#options.logger.info(isReady ? "Ready" : "Not ready", {
        version: this.#follower.routes?.document.version ?? -1,
        since_leader_reply_ms: Number.isFinite(sinceReply)
          ? Math.round(sinceReply)
          : -1,
      });
    }
    return isReady;
  }

  /** Handlers for the other gateways. */
  createHandlers(): HandlerTable {
    return this.#quarantineExchange.createHandlers();
  }

  /** Starts the followers and the servers. */
  async start(): Promise<void> {
    await this.#follower.start();
    await this.#instanceLists.start();
    void this.#quarantineExchange.learn();
    await this.#operatorServer.start();
    await this.#callerServer.start();
    this.#cleanupTimer = setInterval(
      () => this.#cleanUp(),
      CLEANUP_INTERVAL_MILLISECONDS,
    );
  }

  /** Refuses requests that cannot be finished before the end of the stop. */
  prepareStop(endAt: number): void {
    this.#callerServer.beginStop(endAt);
  }

  /** Waits for open requests, then stops. */
  async stop(endAt: number): Promise<void> {
    const { drainMilliseconds } = this.#options.settings.gateway;
    await this.#callerServer.stop({
      minMilliseconds: drainMilliseconds,
      endAt,
    });
    await this.#operatorListener.closeAnswered(OPERATOR_STOP_MILLISECONDS);
    await Promise.race([
      this.#operatorServer.stop({ timeout: 100 }),
      sleep(200),
    ]);
    this.#quarantineExchange.stop();
    await this.#instanceLists.stop();
    await this.#follower.stop();
    clearInterval(this.#cleanupTimer);
    for (const upstream of this.#upstreams.list()) upstream.closeIdle();
  }

  async #run(call: OpenCall): Promise<void> {
    const { facts, route } = call.parts;
    const refusal = this.#parts.quarantine.findRefusal(call, performance.now());
    if (refusal !== undefined) {
      return failCall(call, this.#parts, { error: refusal, notRun: true });
    }
    const isTurn = route.keepsHistory || facts.tokenBudget >= 0;
    const runsTurn = isTurn && route.kind === "stream";
    await this.#calls.run({
      call,
      isTurn: runsTurn,
      run: () =>
        runsTurn ? runTurn(call, this.#parts) : runPlainCall(call, this.#parts),
      refuse: (error) => failCall(call, this.#parts, { error, notRun: true }),
    });
  }

  #countGateways(now: number): number {
    if (now - this.#gateways.at < CLEANUP_INTERVAL_MILLISECONDS) {
      return this.#gateways.count;
    }
    const since = now - MAX_HEARTBEAT_AGE_MILLISECONDS;
    const found = this.#options.directory.findByRole(ROLES.GATEWAY, since);
    this.#gateways = { count: Math.max(1, found.length), at: now };
    return this.#gateways.count;
  }

  #createUnreadAnswers(): UnreadAnswers<OpenCall> {
    const { settings, metrics } = this.#options;
    const { gateway } = settings;
    const logger = this.#options.logger.forPart("calls");
    return new UnreadAnswers<OpenCall>({
      holdBytes: gateway.unreadHoldBytes,
      callBytes: gateway.unreadCallBytes,
      totalBytes: gateway.unreadTotalBytes,
      stallMilliseconds: gateway.unreadStallMilliseconds,
    }, (call, end) => {
      metrics.slowCallers.inc({ reason: end.reason });
      logger.warn("Slow caller disconnected", {
        call: call.parts.facts.callId,
        program: call.parts.facts.programId,
        route: call.parts.route.name,
        reason: end.reason,
        unread_bytes: end.bytes,
        total_unread_bytes: end.totalBytes,
        stalled_ms: Math.round(end.stalledMilliseconds),
      });
    });
  }

  #cleanUp(): void {
    const now = performance.now();
    const { metrics } = this.#options;
    this.#load.update(this.#callerServer.openCalls, now);
    this.#unread.sweep(now);
    this.#quarantine.removeExpired(now);
    void this.#quarantineExchange.sendMissed(now);
    metrics.quarantinedRequests.set(this.#quarantine.countQuarantined());
    metrics.unreadBytes.set(this.#unread.totalBytes);
    metrics.requestBytes.set(this.#parts.requests.bytes);
    metrics.answerBytes.set(this.#parts.answers.bytes);
    metrics.unsentBytes.set(this.#parts.unsent.totalBytes);
    for (const upstream of this.#upstreams.list()) upstream.closeExpired(now);
  }
}
