import { Buffer } from "node:buffer";
import { test } from "tap";
import { AnswerReader } from "./answer_reader.ts";

const FRAMED = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none";
const CHUNKED =
  "HTTP/1.1 503 X\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n" +
  "2\r\ntw\r\n1\r\no\r\n0\r\n\r\n";
const UNFRAMED = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nthree";

test("answers are read however their bytes arrive", (t) => {
  const text = `HTTP/1.1 100 Continue\r\n\r\n${FRAMED}${CHUNKED}`;
  const expected = [
    { status: 200, body: "one", closes: false },
    { status: 503, body: "two", closes: true },
  ];
  for (const partBytes of [1, 7, text.length]) {
    const reader = new AnswerReader();
    const answers = [];
    for (let start = 0; start < text.length; start += partBytes) {
      const part = text.slice(start, start + partBytes);
      answers.push(...reader.push(Buffer.from(part)));
    }
    t.same(answers, expected);
    t.equal(reader.end(), undefined);
  }
  t.end();
});

test("only an answer without framing is completed by the end of its connection", (t) => {
  for (const text of [FRAMED.slice(0, -1), CHUNKED.slice(0, -1), "HTTP/1.1"]) {
    const reader = new AnswerReader();
    t.same(reader.push(Buffer.from(text)), []);
    t.equal(reader.end(), undefined);
  }
  const reader = new AnswerReader();
  t.same(reader.push(Buffer.from(UNFRAMED)), []);
  t.same(reader.end(), { status: 200, body: "three", closes: true });
  t.end();
});
