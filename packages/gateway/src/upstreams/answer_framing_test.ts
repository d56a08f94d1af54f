import { test } from "tap";
import { ANSWER_FRAMINGS, findFraming } from "./answer_framing.ts";

test("the framing of an answer follows from its request and its head", (t) => {
  const find = (headers: readonly string[], method = "GET") =>
    findFraming({ status: 200, headers }, method);
  t.equal(find(["Content-Length", "0"]), ANSWER_FRAMINGS.LENGTH);
  t.equal(
    find(["transfer-encoding", "chunked"]),
    ANSWER_FRAMINGS.LAST_CHUNK,
  );
  t.equal(find([]), ANSWER_FRAMINGS.CONNECTION_END);
  t.equal(find(["Content-Length", "9"], "HEAD"), ANSWER_FRAMINGS.NO_BODY);
  t.end();
});
