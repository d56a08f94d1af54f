import type { InstanceListReply, UpstreamInstance } from "@mallowlift/core";
import { unpackUpdate } from "@mallowlift/sessions";
import { test } from "tap";
import { createTestReader, TEST_INSTANCE } from "./mocks/create_test_reader.ts";

function readInstances(
  { update }: InstanceListReply,
): readonly UpstreamInstance[] {
  return update === undefined ? [] : unpackUpdate(update).changed;
}

test("a store that does not lead reads the list on request", async (t) => {
  const { reader, source } = createTestReader();
  const first = await reader.answer({
    revision: "",
    maxAgeMilliseconds: 60_000,
  });
  t.same(readInstances(first), [TEST_INSTANCE]);
  t.ok(first.listAgeMilliseconds >= 0);
  const revision = first.listRevision ?? "";
  const second = await reader.answer({ revision, maxAgeMilliseconds: 60_000 });
  t.equal(second.update, undefined, "the caller has this revision");
  t.equal(second.listRevision, revision, "the age refers to this revision");
  t.equal(source.reads, 1, "a fresh list is not read again");
  await reader.answer({ revision, maxAgeMilliseconds: -1 });
  t.equal(source.reads, 2, "a stale list is read again");
});

test("concurrent requests share one read", async (t) => {
  const { reader, source } = createTestReader();
  const request = { revision: "", maxAgeMilliseconds: 1_000 };
  const replies = await Promise.all([
    reader.answer(request),
    reader.answer(request),
    reader.answer(request),
  ]);
  t.equal(source.reads, 1);
  t.ok(replies.every(({ update }) => update !== undefined));
});

test("a failing source leaves the list and its read time as they are", async (t) => {
  const { reader, source } = createTestReader();
  source.fails = true;
  const request = { revision: "", maxAgeMilliseconds: -1 };
  t.equal((await reader.answer(request)).listAgeMilliseconds, -1);
  source.fails = false;
  await reader.answer(request);
  const { readAt } = reader;
  source.fails = true;
  t.same(readInstances(await reader.answer(request)), [TEST_INSTANCE]);
  t.equal(reader.readAt, readAt);
});

test("a new leader does not use a list that it read before", async (t) => {
  const { reader, source } = createTestReader();
  await reader.answer({ revision: "", maxAgeMilliseconds: 0 });
  source.fails = true;
  reader.start();
  t.equal(reader.list, undefined);
  reader.stop();
});
