/** The words in which a daemon speaks to everyone outside the site. */

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

/** One dialect for each kind of outsider. */
export interface Dialects {
  readonly caller: CallerDialect;
  readonly operator: OperatorDialect;
  readonly createInstanceSource: InstanceSourceFactory;
  /** Path at which a balancer asks whether the daemon is ready. */
  readonly readinessPath: string;
}

/** The product's own dialects. */
export const NATIVE_DIALECTS: Dialects = {
  caller: new NativeCallerDialect(),
  operator: new NativeOperatorDialect(),
  createInstanceSource: (address) => new FileInstanceSource(address),
  readinessPath: "/healthz",
};
