import { test } from "tap";
import { findRequestOrder, REQUEST_STAGES } from "./request_order.ts";

const { FINISH, CONTINUE, START } = REQUEST_STAGES;

// Guards against urgent programs that wait behind the turns of lesser ones.
test("priorities are first, in each ends, then started programs before new ones", (t) => {
  const orders = [0, 1].flatMap((priority) =>
    [FINISH, CONTINUE, START].map((urgency) =>
      findRequestOrder(urgency, { priority, isLate: false })
    )
  );
  t.same(orders, [0, 1, 2, 3, 4, 5]);
  t.end();
});

// Guards against answers that are ready and lost at the deadline of their callers.
test("the end of a late turn keeps its order", (t) => {
  t.equal(
    findRequestOrder(FINISH, { priority: 1, isLate: true }),
    findRequestOrder(FINISH, { priority: 1, isLate: false }),
  );
  t.end();
});

test("programs that can end in time are before all that cannot, also of a lesser priority", (t) => {
  const inTime = findRequestOrder(START, { priority: 5_000, isLate: false });
  const late = [
    findRequestOrder(CONTINUE, { priority: 0, isLate: true }),
    findRequestOrder(START, { priority: 0, isLate: true }),
    findRequestOrder(CONTINUE, { priority: 1, isLate: true }),
  ];
  t.ok(inTime < late[0]);
  t.same(late, late.toSorted((one, other) => one - other));
  t.end();
});
