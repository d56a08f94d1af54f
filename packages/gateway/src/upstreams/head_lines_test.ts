import { Buffer } from "node:buffer";
import { test } from "tap";
import { AnswerParser } from "./answer_parser.ts";
import { mayBeginAnswer } from "./head_lines.ts";

const OK = "HTTP/1.1 200 OK";
const LENGTH = "Content-Length: 4";

/** Parses an answer in parts of a size; true if the parser takes it for whole. */
function isTaken(text: string, partBytes: number): boolean {
  let isComplete = false;
  const parser = new AnswerParser({
    onHead: () => undefined,
    onBody: () => undefined,
    onComplete: () => isComplete = true,
  });
  const bytes = Buffer.from(text);
  for (let start = 0; start < bytes.length; start += partBytes) {
    const failure = parser.push(bytes.subarray(start, start + partBytes));
    if (failure !== undefined) return isComplete;
  }
  return parser.end() || isComplete;
}

function writeAnswer(lines: readonly string[], lineEnd = "\r\n"): string {
  return `${[...lines, "", ""].join(lineEnd)}four`;
}

const PART_BYTES = [1, 2, 3, 11, 1_000];

test("a head is taken, whatever the parts in which it arrives", (t) => {
  const texts = [
    writeAnswer([OK, LENGTH]),
    writeAnswer([OK, "x: \ta b", "y:", LENGTH]),
    writeAnswer(["HTTP/1.0 200", LENGTH]),
    writeAnswer([OK, LENGTH], "\n"),
    writeAnswer([OK, "x: 1"]),
    `\r\n\r\n${writeAnswer([OK, LENGTH])}`,
    `HTTP/1.1 103 Early Hints\r\nx: 1\r\n\r\n${writeAnswer([OK, LENGTH])}`,
  ];
  for (const text of texts) {
    for (const partBytes of PART_BYTES) {
      t.ok(isTaken(text, partBytes), JSON.stringify({ text, partBytes }));
    }
  }
  t.end();
});

// Guards against lines of a head that http-parser-js skips or mends: the answer lost its
// framing, or ended the gateway when its headers were passed on.
test("a head that has lost bytes is invalid, whatever the parts in which it arrives", (t) => {
  const texts = [
    writeAnswer(["HTTP/1.1 20", LENGTH]),
    writeAnswer(["HTTP/1.1 2000", LENGTH]),
    writeAnswer(["HTTP/1.1 020 OK", LENGTH]),
    writeAnswer(["HTTP/1.1 000 OK", LENGTH]),
    writeAnswer(["HTTP/1.1 600 OK", LENGTH]),
    writeAnswer(["HTTP/1.1 999 OK", LENGTH]),
    writeAnswer([OK, "Content-Length 4"]),
    writeAnswer([OK, "Content-Len"]),
    writeAnswer([OK, "Content-Length:"]),
    writeAnswer([OK, ": 4"]),
    writeAnswer([OK, "x: 1", ` ${LENGTH}`]),
    writeAnswer([OK, "x(y: 1", LENGTH]),
    writeAnswer([OK, "x : 1", LENGTH]),
    writeAnswer([OK, "x: \0", LENGTH]),
    writeAnswer([OK, "x: \x7f", LENGTH]),
    writeAnswer([OK, `x: 1\r${LENGTH}`]),
    writeAnswer([OK, `x: 1\n${LENGTH}`]),
    writeAnswer([OK, `x: 1\r\n\n${LENGTH}`]),
    writeAnswer([OK, `x: 1\n\r\n${LENGTH}`], "\n"),
    writeAnswer([OK, "Transfer-Encoding: chunked", "Transfer-Encoding: x"]),
  ];
  for (const text of texts) {
    for (const partBytes of PART_BYTES) {
      t.notOk(isTaken(text, partBytes), JSON.stringify({ text, partBytes }));
    }
  }
  t.end();
});

/** Parses a text in parts of a size; returns what is wrong with it, if anything. */
function findFailure(text: string, partBytes: number): string | undefined {
  const parser = new AnswerParser({
    onHead: () => undefined,
    onBody: () => undefined,
    onComplete: () => undefined,
  });
  const bytes = Buffer.from(text);
  for (let start = 0; start < bytes.length; start += partBytes) {
    const failure = parser.push(bytes.subarray(start, start + partBytes));
    if (failure !== undefined) return failure;
  }
  return undefined;
}

// Guards against an answer that is waited for until its time is up: its status is that
// of an interim answer, and what follows its head begins no other one.
test("an interim answer with a body is invalid as soon as it can be known", (t) => {
  const texts = [
    writeAnswer(["HTTP/1.1 199 OK", LENGTH]),
    writeAnswer(["HTTP/1.1 199 OK", "Transfer-Encoding: chunked"]),
    writeAnswer(["HTTP/1.1 199 OK"]),
    writeAnswer(["HTTP/1.1 101 Switching Protocols", "x: 1"]),
    writeAnswer(["HTTP/1.1 101 OK", "Upgrade: x", "Connection: upgrade"]),
    "four",
    "HTTP 1.1",
  ];
  for (const text of texts) {
    for (const partBytes of PART_BYTES) {
      const failure = findFailure(text, partBytes);
      t.ok(failure !== undefined, JSON.stringify({ text, partBytes }));
    }
  }
  const interim =
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 OK\r\nx: 1\r\n\r\n";
  for (const partBytes of PART_BYTES) {
    t.equal(findFailure(interim, partBytes), undefined);
    t.ok(isTaken(interim + writeAnswer([OK, LENGTH]), partBytes));
  }
  t.end();
});

// Guards against a Content-Length that has lost digits.
test("a body that is followed by bytes of no answer is longer than its length", (t) => {
  const text = writeAnswer([OK, LENGTH]);
  for (const surplus of ["x", "more", "\r\nmore"]) {
    t.notOk(isTaken(`${text}${surplus}`, 1_000), surplus);
  }
  for (const surplus of ["\r\n", text, text.slice(0, 3)]) {
    t.ok(isTaken(`${text}${surplus}`, 1_000), surplus);
  }
  t.end();
});

test("bytes behind an answer may begin another one", (t) => {
  for (const text of ["", "\r\n", "H", "\r\nHTTP/1.1 200", "HTTP/1."]) {
    t.ok(mayBeginAnswer(Buffer.from(text)), JSON.stringify(text));
  }
  for (const text of ["x", "HTTX", "\r\n\r\nHTTP 1.1", "\0"]) {
    t.notOk(mayBeginAnswer(Buffer.from(text)), JSON.stringify(text));
  }
  t.end();
});
