import { test } from "tap";
import { findCallersAddress, findSettingsPath } from "./callers_address.ts";

test("the path of the settings file is found on a command line", (t) => {
  t.equal(findSettingsPath(["--settings", "a.ini"]), "a.ini");
  t.equal(findSettingsPath(["--check", "-s", "b.ini"]), "b.ini");
  t.equal(findSettingsPath(["--settings=c.ini"]), "c.ini");
  t.equal(findSettingsPath(["--check"]), undefined);
  t.end();
});

test("only a gateway has an address for callers", (t) => {
  const gateway = "[gateway]\ncallers_listen = 10.0.0.1:8149\n";
  t.same(findCallersAddress(`[daemon]\nroles = gateway\n${gateway}`), {
    host: "10.0.0.1",
    port: 8149,
  });
  t.same(findCallersAddress(`[daemon]\nroles = store, gateway\n${gateway}`), {
    host: "10.0.0.1",
    port: 8149,
  });
  t.equal(findCallersAddress(`[daemon]\nroles = store\n${gateway}`), undefined);
  t.equal(findCallersAddress("[daemon]\nroles = gateway\n"), undefined);
  t.equal(findCallersAddress("no settings at all"), undefined);
  t.end();
});
