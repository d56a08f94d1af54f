/**
 * Guards against requests whose bytes fill the memory of a gateway. 100 callers
 * with bodies of 4 MB ended the process with all its open requests.
 */

import { test } from "tap";
import { checkLargeBodies, CHUNKED } from "./large_request_site.ts";

for (const path of ["/read/", "/write/"]) {
  // Guards against a limit of requests that bounds no bytes.
  test(`large bodies at once (${path}, chunks) stay within the memory of an instance`, async (t) => {
    await checkLargeBodies(t, path, CHUNKED);
  });
}
