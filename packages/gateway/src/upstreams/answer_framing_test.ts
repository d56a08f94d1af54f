import { test } from "tap";
import {
  ANSWER_FRAMINGS,
  findFraming,
  findTruncation,
} from "./answer_framing.ts";

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
  const notModified = { status: 304, headers: ["Content-Length", "9"] };
  t.equal(findFraming(notModified, "GET"), ANSWER_FRAMINGS.NO_BODY);
  t.end();
});

// Guards against a crash that is taken for the end of a stream.
test("an empty stream is complete only if its framing says so", (t) => {
  const empty = { hasEvents: false, isAtEventEnd: true };
  const partial = { hasEvents: true, isAtEventEnd: false };
  const whole = { hasEvents: true, isAtEventEnd: true };
  for (const framing of Object.values(ANSWER_FRAMINGS)) {
    const mayBeEmpty = framing !== ANSWER_FRAMINGS.CONNECTION_END;
    t.equal(findTruncation(framing, empty) === undefined, mayBeEmpty, framing);
    t.type(findTruncation(framing, partial), "string", framing);
    t.equal(findTruncation(framing, whole), undefined, framing);
  }
  t.end();
});
