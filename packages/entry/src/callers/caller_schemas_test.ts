import fc from "fast-check";
import { test } from "tap";
import { checkBody } from "../http/check_body.ts";
import {
  CREATE_PROGRAM_SCHEMA,
  MODEL_CALL_SCHEMA,
  SERVICE_CALL_SCHEMA,
} from "./caller_schemas.ts";

const SEED = 1;
const SECRET = "the crew's secret";
const SCHEMAS = [CREATE_PROGRAM_SCHEMA, MODEL_CALL_SCHEMA, SERVICE_CALL_SCHEMA];

test("checkBody never throws on JSON and never quotes content in errors", (t) => {
  const field = fc.constantFrom(
    "request_id",
    "model",
    "messages",
    "max_tokens",
    "stream",
    "payload",
    "x",
  );
  const value = fc.oneof(
    fc.jsonValue(),
    fc.constant(SECRET),
    fc.constant([{ role: SECRET }]),
  );
  fc.assert(
    fc.property(
      fc.oneof(fc.dictionary(field, value), fc.jsonValue()),
      (body) => {
        for (const schema of SCHEMAS) {
          const checked = checkBody<object>(schema, body);
          if (checked.err && checked.val.message.includes(SECRET)) return false;
        }
        return true;
      },
    ),
    { seed: SEED, numRuns: 500 },
  );
  t.end();
});

test("errors name unknown fields and fields of the wrong type", (t) => {
  const body = {
    request_id: "r",
    model: "m",
    messages: [],
    max_tokens: "5",
    colour: 1,
  };
  const checked = checkBody(MODEL_CALL_SCHEMA, body);
  t.ok(checked.err);
  const message = checked.err ? checked.val.message : "";
  t.match(message, /messages: array.min/);
  t.match(message, /max_tokens: number.base/);
  t.match(message, /colour: object.unknown/);
  t.end();
});
