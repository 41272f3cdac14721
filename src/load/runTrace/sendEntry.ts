import { createParser } from 'eventsource-parser';
import { request, type Dispatcher } from 'undici';
import { buildTokens } from '../../standin/engine/buildTokens.js';
import { LoadKind, type TraceEntry, type TraceResult } from '../types.js';

/** Target, credentials and ids of a request. */
export interface SendEntryOptions {
  origin: string;
  key: string;
  /** Unique id of the request, also used as its Idempotency-Key. */
  id: string;
  /** X-Request-Id of this attempt, by which backend stand-ins count runs; defaults to `id`. */
  requestId?: string;
  dispatcher: Dispatcher;
  /** Returns the milliseconds since the request was due. */
  elapsedMs: () => number;
}

type EntryResult = Omit<TraceResult, 'entry' | 'totalMs'>;

function buildPrompt({ promptWords }: TraceEntry, id: string): string {
  return [id, ...Array.from({ length: promptWords - 1 }, (_unused, index) => `w${index}`)].join(
    ' ',
  );
}

/** Reads a stream and returns whether it was complete and had the expected text. */
async function readStream(
  body: Dispatcher.ResponseData['body'],
  expected: string,
  onFirst: () => void,
): Promise<boolean> {
  const read = { text: '', isDone: false };
  const parser = createParser({
    onEvent: ({ data, event }) => {
      if (event === 'error') return;
      if (data === '[DONE]') read.isDone = true;
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
  return read.isDone && read.text === expected;
}

async function sendCompletion(entry: TraceEntry, options: SendEntryOptions): Promise<EntryResult> {
  const { origin, key, id, requestId = id, dispatcher, elapsedMs } = options;
  const prompt = buildPrompt(entry, id);
  const isStream = entry.kind === LoadKind.stream;
  const response = await request(`${origin}/v1/completions`, {
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
  const outcome = String(response.headers['bronzelanding-outcome'] ?? 'none');
  const expected = buildTokens(JSON.stringify(prompt), entry.maximumTokens).join('');
  if (response.statusCode !== 200) {
    await response.body.dump();
    return { status: response.statusCode, outcome, isWhole: false, firstByteMs };
  }
  if (isStream) {
    let isFirst = true;
    const isWhole = await readStream(response.body, expected, () => {
      if (isFirst) firstByteMs = elapsedMs();
      isFirst = false;
    });
    return { status: 200, outcome, isWhole, firstByteMs };
  }
  const { choices } = (await response.body.json()) as { choices: { text: string }[] };
  return { status: 200, outcome, isWhole: choices[0]?.text === expected, firstByteMs };
}

async function sendPlainRequest(
  entry: TraceEntry,
  options: SendEntryOptions,
): Promise<EntryResult> {
  const { origin, key, id, requestId = id, dispatcher, elapsedMs } = options;
  const isKeyed = entry.kind === LoadKind.keyed;
  const response = await request(`${origin}${entry.target}`, {
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
  const text = await response.body.text();
  const outcome = String(response.headers['bronzelanding-outcome'] ?? 'none');
  const isExpected = !isKeyed || text.includes(id);
  return {
    status: response.statusCode,
    outcome,
    isWhole: response.statusCode === 200 && isExpected,
    firstByteMs,
  };
}

/** Sends one request of a trace; a failed connection gives a result with status 0. */
export async function sendEntry(
  entry: TraceEntry,
  options: SendEntryOptions,
): Promise<TraceResult> {
  const isPlain = entry.kind === LoadKind.lookup || entry.kind === LoadKind.keyed;
  try {
    const result = await (isPlain
      ? sendPlainRequest(entry, options)
      : sendCompletion(entry, options));
    return { entry, ...result, totalMs: options.elapsedMs() };
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
