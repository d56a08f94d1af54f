import { test } from "tap";
import { DocumentConfirmations } from "./document_confirmations.ts";

test("the age is infinite without a confirmation", (t) => {
  t.equal(new DocumentConfirmations().findAge(3, 1_000), Infinity);
  t.end();
});

// Guards against an old document whose keys are accepted because a leader has
// confirmed a newer one.
test("a confirmation counts once its version is in force", (t) => {
  const confirmations = new DocumentConfirmations();
  confirmations.record(3, 1_000);
  t.equal(confirmations.findAge(3, 1_400), 400);
  confirmations.record(4, 2_000);
  t.equal(
    confirmations.findAge(3, 2_400),
    1_400,
    "version 4 has not arrived yet",
  );
  confirmations.record(5, 3_000);
  t.equal(confirmations.findAge(4, 3_400), 1_400);
  t.equal(confirmations.findAge(6, 3_400), 400, "a newer version counts too");
  t.end();
});

test("an older confirmation does not replace a newer one", (t) => {
  const confirmations = new DocumentConfirmations();
  confirmations.record(3, 1_000);
  confirmations.record(3, 500);
  confirmations.record(3, -Infinity);
  t.equal(confirmations.findAge(3, 1_400), 400);
  t.end();
});
