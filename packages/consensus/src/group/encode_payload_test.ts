import { Buffer } from "node:buffer";
import { decode } from "cbor-x";
import { test } from "tap";
import { encodePayload } from "./encode_payload.ts";

test("a payload does not share its buffer", (t) => {
  const command = { kind: "end", input: Buffer.from("input") };
  const payload = encodePayload(command);
  t.equal(payload.buffer.byteLength, payload.length);
  t.same(decode(payload), command);
  t.end();
});
