/** Answers that an upstream begins and never ends, by where the bytes belong. */

const PART_BYTES = 16_384;
const LONG = "x".repeat(PART_BYTES);
const STREAM = "Content-Type: text/event-stream\r\n";
const CHUNKED = "Transfer-Encoding: chunked\r\n";

/** An answer: what is sent once, and what is repeated until the caller closes. */
export interface EndlessAnswer {
  /** `own` is the complete answer to the call. */
  start(callId: string, own: string): string;
  repeat(callId: string, own: string): string;
}

function writeHead(callId: string, more: string, status = 200): string {
  return `HTTP/1.1 ${status} X\r\nx-call-id: ${callId}\r\n${more}\r\n`;
}

/** Repeats a short text up to the size of a part. */
function fillPart(text: string): string {
  return text.repeat(Math.ceil(PART_BYTES / text.length));
}

function createAnswer(
  start: (callId: string, own: string) => string,
  text: string,
): EndlessAnswer {
  const part = fillPart(text);
  return { start, repeat: () => part };
}

/** All endless answers. */
export const ENDLESS_ANSWERS = {
  /** Bytes that are no answer, without a line end. */
  garbage: createAnswer(() => "", LONG),
  empty_lines: createAnswer(() => "", "\r\n"),
  head: createAnswer(() => "HTTP/1.1 200 X\r\n", "x-more: 1\r\n"),
  header: createAnswer(() => "HTTP/1.1 200 X\r\nx-long: ", LONG),
  interim: createAnswer(() => "", "HTTP/1.1 102 Processing\r\n\r\n"),
  interim_head: createAnswer(() => "HTTP/1.1 103 X\r\n", "x-more: 1\r\n"),
  chunk_extension: createAnswer(
    (callId) => `${writeHead(callId, CHUNKED)}1;x=`,
    LONG,
  ),
  chunk_extensions: createAnswer(
    (callId) => writeHead(callId, CHUNKED),
    `1;x=${"x".repeat(1_000)}\r\nx\r\n`,
  ),
  chunk_size: createAnswer((callId) => writeHead(callId, CHUNKED), "0"),
  chunk_end: createAnswer(
    (callId) => `${writeHead(callId, CHUNKED)}1\r\nx`,
    LONG,
  ),
  small_chunks: createAnswer(
    (callId) => writeHead(callId, CHUNKED),
    "1\r\nx\r\n",
  ),
  chunks: createAnswer(
    (callId) => writeHead(callId, CHUNKED),
    `4000\r\n${LONG}\r\n`,
  ),
  trailers: createAnswer(
    (callId) => `${writeHead(callId, CHUNKED)}0\r\n`,
    "x-more: 1\r\n",
  ),
  trailer: createAnswer(
    (callId) => `${writeHead(callId, CHUNKED)}0\r\nx-long: `,
    LONG,
  ),
  body: createAnswer((callId) => writeHead(callId, ""), LONG),
  long_body: createAnswer(
    (callId) => writeHead(callId, "Content-Length: 99999999999999\r\n"),
    LONG,
  ),
  refusal: createAnswer(
    (callId) => writeHead(callId, "x-not-run: 1\r\n", 503),
    LONG,
  ),
  foreign_body: createAnswer(() => writeHead("other", ""), LONG),
  foreign_answers: createAnswer(
    () => "",
    writeHead("other", "Content-Length: 0\r\n"),
  ),
  /** The whole answer, again and again. */
  surplus: {
    start: (_callId: string, own: string) => own,
    repeat: (_callId: string, own: string) => fillPart(own),
  },
  surplus_garbage: createAnswer((_callId, own) => own, LONG),
  event: createAnswer((callId) => `${writeHead(callId, STREAM)}data: `, LONG),
  events: createAnswer((callId) => writeHead(callId, STREAM), "data: x\n\n"),
  comments: createAnswer((callId) => writeHead(callId, STREAM), ":\n\n"),
} as const satisfies Readonly<Record<string, EndlessAnswer>>;

/** A name of {@linkcode ENDLESS_ANSWERS}. */
export type EndlessKind = keyof typeof ENDLESS_ANSWERS;

/** All names of {@linkcode ENDLESS_ANSWERS}. */
export const ENDLESS_KINDS = Object.keys(
  ENDLESS_ANSWERS,
) as readonly EndlessKind[];
