/** The daemons of a small site, and the text of their settings files. */

import { stringify } from "ini";

/** Sections of a settings file. */
export type SettingsSections = Readonly<
  Record<string, Readonly<Record<string, string | number>>>
>;

/** What kind of site is wanted. */
export interface SitePlan {
  /** Folder for settings, logs and data. */
  readonly folder: string;
  readonly replicas: number;
  readonly standbys: number;
  readonly entries: number;
  readonly engines: number;
  readonly services: number;
  readonly programGroups: number;
  /** Ports of the entries; free ones where missing. */
  readonly httpPorts: readonly number[];
  /** True to put a fault-injecting proxy before every replica and sidecar. */
  readonly proxied: boolean;
  /** Settings that differ from the site's own, for all daemons. */
  readonly overrides: SettingsSections;
}

/** A small site, unless said otherwise. */
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

/** Failure domains of the Java highland. */
export const FAILURE_DOMAINS = ["hall-kawah", "hall-lereng", "hall-puncak"];

/** Key that the daemons of an example site prove to each other. */
export const SITE_KEY = "example-site-key";

/** Token of the operators of an example site. */
export const OPERATOR_TOKEN = "operator-token";

/** One daemon of a site. */
export interface DaemonPlan {
  readonly name: string;
  readonly role: "entry" | "replica" | "sidecar";
  readonly listenPort: number;
  readonly healthPort: number;
  readonly sections: SettingsSections;
}

/** Returns the text of a settings file. */
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
