import { createParser } from 'eventsource-parser';
import { request, type Dispatcher } from 'undici';
import { buildTokens } from '../../standin/engine/buildTokens.js';
import { LoadKind, type TraceEntry, type TraceResult } from '../types.js';

/** Where a request goes and as whom. */
export interface SendEntryOptions {
  origin: string;
  key: string;
  /** Unique id of the request, which is its Idempotency-Key too. */
  id: string;
  /** Id of this attempt, by which backend stand-ins count runs; the request's own by default. */
  requestId?: string;
  dispatcher: Dispatcher;
  /** Milliseconds since the request was due. */
  elapsedMs: () => number;
}

type Reply = Omit<TraceResult, 'entry' | 'totalMs'>;

function buildPrompt({ promptWords }: TraceEntry, id: string): string {
  return [id, ...Array.from({ length: promptWords - 1 }, (_unused, index) => `w${index}`)].join(
    ' ',
  );
}

/** Reads a stream and tells whether it ended whole with the expected text. */
async function readStream(
  body: Dispatcher.ResponseData['body'],
  expected: string,
  onFirst: () => void,
): Promise<boolean> {
  const read = { text: '', isWhole: false };
  const parser = createParser({
    onEvent: ({ data, event }) => {
      if (event === 'error') return;
      if (data === '[DONE]') read.isWhole = true;
      else {
        const { choices } = JSON.parse(data) as { choices: { text?: string }[] };
        read.text += choices[0]?.text ?? '';
      }
    },
  });
  const decoder = new TextDecoder();
  for await (const chunk of body as AsyncIterable<Buffer>) {
    onFirst();
    parser.feed(decoder.decode(chunk, { stream: true }));
  }
  return read.isWhole && read.text === expected;
}

async function sendCompletion(entry: TraceEntry, options: SendEntryOptions): Promise<Reply> {
  const { origin, key, id, requestId = id, dispatcher, elapsedMs } = options;
  const prompt = buildPrompt(entry, id);
  const isStream = entry.kind === LoadKind.stream;
  const reply = await request(`${origin}/v1/completions`, {
    method: 'POST',
    dispatcher,
    headers: {
      authorization: `Bearer ${key}`,
      'content-type': 'application/json',
      'x-request-id': requestId,
    },
    body: JSON.stringify({
      model: entry.target,
      prompt,
      max_tokens: entry.maximumTokens,
      stream: isStream,
    }),
  });
  let firstByteMs = elapsedMs();
  const outcome = String(reply.headers['bronzelanding-outcome'] ?? 'none');
  const expected = buildTokens(JSON.stringify(prompt), entry.maximumTokens).join('');
  if (reply.statusCode !== 200) {
    await reply.body.dump();
    return { status: reply.statusCode, outcome, isWhole: false, firstByteMs };
  }
  if (isStream) {
    let isFirst = true;
    const isWhole = await readStream(reply.body, expected, () => {
      if (isFirst) firstByteMs = elapsedMs();
      isFirst = false;
    });
    return { status: 200, outcome, isWhole, firstByteMs };
  }
  const { choices } = (await reply.body.json()) as { choices: { text: string }[] };
  return { status: 200, outcome, isWhole: choices[0]?.text === expected, firstByteMs };
}

async function sendPlain(entry: TraceEntry, options: SendEntryOptions): Promise<Reply> {
  const { origin, key, id, requestId = id, dispatcher, elapsedMs } = options;
  const isKeyed = entry.kind === LoadKind.keyed;
  const reply = await request(`${origin}${entry.target}`, {
    method: isKeyed ? 'POST' : 'GET',
    dispatcher,
    headers: {
      authorization: `Bearer ${key}`,
      'x-request-id': requestId,
      ...(isKeyed ? { 'content-type': 'application/json', 'idempotency-key': id } : {}),
    },
    ...(isKeyed ? { body: JSON.stringify({ id }) } : {}),
  });
  const firstByteMs = elapsedMs();
  const text = await reply.body.text();
  const outcome = String(reply.headers['bronzelanding-outcome'] ?? 'none');
  const isRight = !isKeyed || text.includes(id);
  return {
    status: reply.statusCode,
    outcome,
    isWhole: reply.statusCode === 200 && isRight,
    firstByteMs,
  };
}

/** Sends one request of a trace; a broken connection is a result like any other. */
export async function sendEntry(
  entry: TraceEntry,
  options: SendEntryOptions,
): Promise<TraceResult> {
  const isPlain = entry.kind === LoadKind.lookup || entry.kind === LoadKind.keyed;
  try {
    const reply = await (isPlain ? sendPlain(entry, options) : sendCompletion(entry, options));
    return { entry, ...reply, totalMs: options.elapsedMs() };
  } catch {
    const elapsed = options.elapsedMs();
    return {
      entry,
      status: 0,
      outcome: 'none',
      isWhole: false,
      firstByteMs: elapsed,
      totalMs: elapsed,
    };
  }
}
