/** Workspaces of a gateway soak: one with a fixed key, one whose key changes. */

import { hashText, type RoutingDocument } from "@mallowlift/core";
import { TEST_DOCUMENT } from "../gateways/test_document.ts";

/** Name and key of the workspace of all programs. */
export const HOME_WORKSPACE = { workspace: "home", key: "home-key" } as const;
/** Workspace with a quota and a different key in each document version. */
export const GUEST_WORKSPACE = "guest";
/** Time after its revocation from which a key may run nowhere, ms. */
export const REVOCATION_MILLISECONDS = 2_000;
/** Quota of the guest workspace, over windows of {@linkcode WINDOW_SECONDS}. */
export const GUEST_QUOTA = { ratePerSecond: 20, burst: 10 } as const;
export const WINDOW_SECONDS = 2;

/** Gateway settings of a soak. */
export const WORKSPACE_SETTINGS = {
  revocation_milliseconds: REVOCATION_MILLISECONDS,
  quota_window_seconds: WINDOW_SECONDS,
};

/** Returns the guest key that only one document version contains. */
export function composeGuestKey(version: number): string {
  return `guest-${version}`;
}

/** Returns a document with the workspaces of its version. */
export function addWorkspaces(document: RoutingDocument): RoutingDocument {
  const { version } = document;
  return {
    ...document,
    workspaces: [
      {
        name: HOME_WORKSPACE.workspace,
        keyDigests: [hashText(HOME_WORKSPACE.key)],
        ratePerSecond: 0,
        burst: 0,
      },
      {
        name: GUEST_WORKSPACE,
        keyDigests: [hashText(composeGuestKey(version))],
        ...GUEST_QUOTA,
      },
    ],
  };
}

/** Routing document at the start of a soak. */
export const INITIAL_DOCUMENT = addWorkspaces(TEST_DOCUMENT);
