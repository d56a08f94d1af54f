import { readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "tap";
import { findResultCode, RESULT_CODES } from "./result_codes.ts";

const PAGE = join(__dirname, "../../../../docs/RESULT_CODES.md");

test("docs/RESULT_CODES.md has exactly the table in result_codes.ts", (t) => {
  const rows = readFileSync(PAGE, "utf8").split("\n")
    .filter((line) => /^\| \d/.test(line))
    .map((line) => line.split("|").slice(1, -1).map((cell) => cell.trim()));
  const expected = Object.values(RESULT_CODES).map((code) => [
    String(code.number),
    `\`${code.name}\``,
    String(code.httpStatus),
    code.notRun ? "yes" : "no",
    code.meaning,
  ]);
  t.same(rows, expected);
  t.end();
});

test("numbers and names are unique, and unknown names map to INTERNAL", (t) => {
  const codes = Object.values(RESULT_CODES);
  t.equal(new Set(codes.map((code) => code.number)).size, codes.length);
  for (const [key, code] of Object.entries(RESULT_CODES)) {
    t.equal(code.name, key);
  }
  t.equal(findResultCode("toString"), RESULT_CODES.INTERNAL);
  t.end();
});
