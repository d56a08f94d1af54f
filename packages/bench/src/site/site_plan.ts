/** Describes the daemons of a small site and formats their settings files. */

import { stringify } from "ini";

/** Values of a settings file by section and name. */
export type SettingsSections = Readonly<
  Record<string, Readonly<Record<string, string | number>>>
>;

/** Size and options of a site. */
export interface SitePlan {
  /** Folder for settings, logs and data. */
  readonly folder: string;
  readonly replicas: number;
  readonly standbys: number;
  readonly entries: number;
  readonly engines: number;
  readonly services: number;
  readonly programGroups: number;
  /** HTTP ports of the entries; a free port is chosen for each missing one. */
  readonly httpPorts: readonly number[];
  /** True to put a fault-injecting proxy in front of every replica and sidecar. */
  readonly proxied: boolean;
  /** Values that replace generated settings, in all daemons. */
  readonly overrides: SettingsSections;
}

/** Defaults for missing options of a {@linkcode SitePlan}. */
export const DEFAULT_SITE: SitePlan = {
  folder: ".site",
  replicas: 3,
  standbys: 0,
  entries: 2,
  engines: 3,
  services: 2,
  programGroups: 4,
  httpPorts: [],
  proxied: false,
  overrides: {},
};

/** Names of the failure domains of an example site. */
export const FAILURE_DOMAINS = ["hall-kawah", "hall-lereng", "hall-puncak"];

/** Shared key with which the daemons of an example site authenticate each other. */
export const SITE_KEY = "example-site-key";

/** Bearer token of the operators of an example site. */
export const OPERATOR_TOKEN = "operator-token";

/** One daemon of a site. */
export interface DaemonPlan {
  readonly name: string;
  readonly role: "entry" | "replica" | "sidecar";
  readonly listenPort: number;
  readonly healthPort: number;
  readonly sections: SettingsSections;
}

/** Formats a settings file; overrides of missing sections are ignored. */
export function formatSettings(
  sections: SettingsSections,
  overrides: SettingsSections,
): string {
  const merged: Record<string, Record<string, string | number>> = {};
  for (const [section, values] of Object.entries(sections)) {
    merged[section] = { ...values };
  }
  for (const [section, values] of Object.entries(overrides)) {
    if (merged[section] !== undefined) Object.assign(merged[section], values);
  }
  return stringify(merged, { whitespace: true });
}

/** Returns the failure domain of the daemon with this number. */
export function findFailureDomain(number: number): string {
  return FAILURE_DOMAINS[number % FAILURE_DOMAINS.length] ?? "hall-kawah";
}
