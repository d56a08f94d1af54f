import { readFileSync } from "node:fs";
import { join } from "node:path";
import { deriveProgramId, describeSettings } from "@mallowlift/core";
import { test } from "tap";
import { startTestSite } from "./test_site.ts";

const DOCS = join(__dirname, "../../../../docs");
const DOCUMENTED_ENTRY = "http://127.0.0.1:8080";

interface Example {
  readonly url: string;
  readonly method: string;
  readonly headers: Record<string, string>;
  readonly body: string | undefined;
  readonly status: number;
}

function listExamples(page: string): readonly Example[] {
  const blocks = [...page.matchAll(/```sh\n(curl [\s\S]*?)\n# (\d{3})\n```/g)];
  return blocks.map((block) => parseExample(block[1] ?? "", Number(block[2])));
}

/** Parses the curl options that the examples use. */
function parseExample(command: string, status: number): Example {
  const text = command.replaceAll("\\\n", " ");
  const words = [...text.matchAll(/'([^']*)'|(\S+)/g)].map((word) =>
    word[1] ?? word[2] ?? ""
  );
  const headers: Record<string, string> = {};
  let method = words.includes("-d") ? "POST" : "GET";
  let body: string | undefined;
  for (const [position, word] of words.entries()) {
    const next = words[position + 1] ?? "";
    if (word === "-X") method = next;
    if (word === "-d") body = next;
    if (word === "-H") {
      headers[next.split(": ")[0] ?? ""] = next.split(": ")[1] ?? "";
    }
  }
  const url = words.find((word) => word.startsWith("http")) ?? "";
  return { url, method, headers, body, status };
}

test("every example in docs/API.md works unchanged", async (t) => {
  const page = readFileSync(join(DOCS, "API.md"), "utf8");
  const examples = listExamples(page);
  t.ok(examples.length >= 14);
  const program = deriveProgramId({ outfit: "north", requestId: "transect-7" });
  t.ok(page.includes(program));
  const running = await startTestSite(t.testdir());
  t.teardown(() => running.stop());
  for (const { url, method, headers, body, status } of examples) {
    const target = url.replace(
      DOCUMENTED_ENTRY,
      running.site.entryUrls[0] ?? "",
    );
    const answer = await fetch(target, { method, headers, body });
    t.equal(answer.status, status, `${method} ${url}`);
    await answer.text();
  }
});

test("docs/CONFIGURATION.md contains the tables of the settings schema", (t) => {
  const normalize = (text: string) =>
    text.replaceAll(/ +/g, " ").replaceAll(/-+/g, "-");
  const page = normalize(readFileSync(join(DOCS, "CONFIGURATION.md"), "utf8"));
  for (const line of normalize(describeSettings()).split("\n")) {
    t.ok(page.includes(line), line);
  }
  t.end();
});
