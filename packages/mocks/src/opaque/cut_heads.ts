/** Answers whose heads have lost or changed bytes on the way. */

const BODY = "data: x\n\n".repeat(112);
const STATUS = "HTTP/1.1 200 OK";
const LENGTH = `Content-Length: ${BODY.length}`;
const CLOSE = "Connection: close";
const CHUNKED = "Transfer-Encoding: chunked";
const CHUNKS = `${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`;

/** What the reader of an answer can know of it. */
export const HEAD_VERDICTS = {
  /** Bytes are missing or wrong. */
  INVALID: "invalid",
  /** It is valid, and only the end of its connection marks its end. */
  UNFRAMED: "unframed",
  /** It is valid and complete. */
  WHOLE: "whole",
} as const;

/** One of {@linkcode HEAD_VERDICTS}. */
export type HeadVerdict = typeof HEAD_VERDICTS[keyof typeof HEAD_VERDICTS];

/** An answer, and what its reader can know of it. */
export interface CutHead {
  readonly verdict: HeadVerdict;
  /** Writes the answer to a call; `more` is a header line of its own. */
  write(callId: string, more: string): string;
}

function writeHead(
  lines: readonly string[],
  body: string,
  status = STATUS,
): CutHead["write"] {
  return (callId, more) =>
    [status, `x-call-id: ${callId}`, more, ...lines].join("\r\n") +
    `\r\n\r\n${body}`;
}

function createInvalid(
  lines: readonly string[],
  body = BODY,
  status = STATUS,
): CutHead {
  return {
    verdict: HEAD_VERDICTS.INVALID,
    write: writeHead(lines, body, status),
  };
}

function createUnframed(lines: readonly string[], body = BODY): CutHead {
  return { verdict: HEAD_VERDICTS.UNFRAMED, write: writeHead(lines, body) };
}

/** Ends an answer after so many bytes; from the end of its head if negative. */
function cutAfter(bytes: number): CutHead {
  const write = writeHead([LENGTH], "");
  return {
    verdict: HEAD_VERDICTS.INVALID,
    write: (callId, more) => write(callId, more).slice(0, bytes),
  };
}

/** All such answers. */
export const CUT_HEADS = {
  whole: {
    verdict: HEAD_VERDICTS.WHOLE,
    write: writeHead([LENGTH, CLOSE], BODY),
  },
  whole_without_reason: {
    verdict: HEAD_VERDICTS.WHOLE,
    write: writeHead([LENGTH, CLOSE], BODY, "HTTP/1.1 200"),
  },
  nothing: cutAfter(0),
  end_in_version: cutAfter(5),
  end_in_status: cutAfter(11),
  end_after_status: cutAfter(12),
  end_after_first_line: cutAfter(17),
  end_in_header: cutAfter(30),
  end_in_length: cutAfter(-6),
  end_before_blank_line: cutAfter(-2),
  end_in_blank_line: cutAfter(-1),
  body_lost: createInvalid([LENGTH], ""),
  body_cut: createInvalid([LENGTH], BODY.slice(0, 90)),
  framing_and_body_lost: createUnframed([], ""),
  framing_lost: createUnframed([]),
  framing_name_changed: createUnframed([`Content${LENGTH.slice(14)}`]),
  colon_lost: createInvalid([LENGTH.replace(":", "")]),
  name_cut: createInvalid(["Content-Len"]),
  value_cut: createInvalid(["Content-Length:"]),
  digits_cut: createInvalid([LENGTH.slice(0, -2)]),
  digits_changed: createInvalid([`${LENGTH.slice(0, -1)}x`]),
  status_cut: createInvalid([LENGTH], BODY, "HTTP/1.1 20"),
  status_long: createInvalid([LENGTH], BODY, "HTTP/1.1 2000"),
  status_low: createInvalid([LENGTH], BODY, "HTTP/1.1 020 OK"),
  status_zero: createInvalid([LENGTH], BODY, "HTTP/1.1 000 OK"),
  status_above: createInvalid([LENGTH], BODY, "HTTP/1.1 600 OK"),
  status_highest: createInvalid([LENGTH], BODY, "HTTP/1.1 999 OK"),
  status_switching: createInvalid([], BODY, "HTTP/1.1 101 OK"),
  switching_with_length: createInvalid([LENGTH], BODY, "HTTP/1.1 101 OK"),
  interim_with_length: createInvalid([LENGTH], BODY, "HTTP/1.1 199 OK"),
  interim_with_chunks: createInvalid([CHUNKED], CHUNKS, "HTTP/1.1 199 OK"),
  interim_with_events: createInvalid([], BODY, "HTTP/1.1 199 OK"),
  interim_with_text: createInvalid([], "x", "HTTP/1.1 199 OK"),
  version_cut: createInvalid([LENGTH], BODY, "HTTP/1 200 OK"),
  coding_cut: createInvalid([CHUNKED.slice(0, -1)], CHUNKS),
  coding_lost: createInvalid(["Transfer-Encoding:"], CHUNKS),
  codings: createInvalid([CHUNKED, "Transfer-Encoding: x"], CHUNKS),
  length_and_coding: createInvalid([LENGTH, CHUNKED], CHUNKS),
  lengths: createInvalid([LENGTH, "Content-Length: 9"]),
  folded: createInvalid(["x-more: 1", ` ${LENGTH}`]),
  lone_carriage_return: createInvalid([`x-more: 1\r${LENGTH}`]),
  lone_line_feeds: createInvalid([`x-more: 1\r\n\n${LENGTH}`]),
  lone_line_feed: createInvalid([`x-more: 1\n${LENGTH}`]),
  control_character: createInvalid([`x-more: 1\0`, LENGTH]),
  name_with_bracket: createInvalid(["x(more: 1", LENGTH]),
} as const satisfies Readonly<Record<string, CutHead>>;

/** A name of {@linkcode CUT_HEADS}. */
export type CutHeadKind = keyof typeof CUT_HEADS;

/** All names of {@linkcode CUT_HEADS}. */
export const CUT_HEAD_KINDS = Object.keys(CUT_HEADS) as readonly CutHeadKind[];

/** Body of the whole answers: events of a stream. */
export const CUT_HEAD_BODY = BODY;
