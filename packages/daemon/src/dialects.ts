/** Protocols that a daemon uses with clients and systems outside the site. */

import {
  type CallerDialect,
  NativeCallerDialect,
  NativeOperatorDialect,
  type OperatorDialect,
} from "@mallowlift/gateway";
import {
  FileInstanceSource,
  type InstanceSourceFactory,
} from "@mallowlift/store";

/** A dialect for each kind of external client or system. */
export interface Dialects {
  readonly caller: CallerDialect;
  readonly operator: OperatorDialect;
  readonly createInstanceSource: InstanceSourceFactory;
  /** Path at which load balancers check readiness. */
  readonly readinessPath: string;
}

/** The native dialects of mallowlift. */
export const NATIVE_DIALECTS: Dialects = {
  caller: new NativeCallerDialect(),
  operator: new NativeOperatorDialect(),
  createInstanceSource: (address) => new FileInstanceSource(address),
  readinessPath: "/healthz",
};
