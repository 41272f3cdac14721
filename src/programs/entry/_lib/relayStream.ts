import { once } from 'node:events';
import { createParser, type EventSourceMessage } from 'eventsource-parser';
import { BackendServerError, type BackendResponse } from '../../../adapters/backendServer/index.js';
import { OUTCOME_HEADER, type CallerRequest } from '../../../adapters/callerHttp/index.js';
import { formatError, ExecutionOutcome } from '../../../errors/index.js';

/** Data of the event that ends a stream. */
const DONE = '[DONE]';
const MAX_RESUMES = 3;

/** How a stream is relayed. */
export interface RelayStreamOptions {
  request: CallerRequest;
  /** Opens the stream, or opens it again after the given event. */
  open: (lastEventId?: string) => Promise<BackendResponse>;
  /** Whether the caller gets the usage figures. */
  wantsUsage: boolean;
  /** Time in milliseconds for which the caller may leave the stream unread. */
  callerStallMs: number;
  /** Aborts when the caller has left or its key was withdrawn. */
  signal?: AbortSignal;
}

/** What a relayed stream cost. */
export interface RelayedStream {
  /** Tokens of prompt and output; left out when the engine did not say. */
  tokens?: number;
}

interface StreamState {
  lastEventId?: string;
  lastNumber: number;
  isDone: boolean;
  tokens?: number;
}

function parseEventNumber(id: string): number {
  return Number(id.slice(id.lastIndexOf('/') + 1));
}

/** Returns whether an event is new; a gap in the numbers counts as a cut. */
function takeEventId(state: StreamState, id: string | undefined): boolean {
  if (id === undefined) return true;
  const number = parseEventNumber(id);
  if (!Number.isInteger(number)) return true;
  if (number <= state.lastNumber) return false;
  if (number > state.lastNumber + 1)
    throw new BackendServerError(`event ${state.lastNumber + 1} of the stream is missing`);
  state.lastNumber = number;
  state.lastEventId = id;
  return true;
}

/** Reads the usage figures of an event; true when the event holds nothing else. */
function takeUsage(state: StreamState, data: string): boolean {
  if (!data.includes('"usage"')) return false;
  const { usage, choices } = JSON.parse(data) as {
    usage?: { total_tokens?: number } | null;
    choices?: unknown[];
  };
  if (usage?.total_tokens === undefined) return false;
  state.tokens = usage.total_tokens;
  return choices?.length === 0;
}

function formatEvent({ event, data }: EventSourceMessage): string {
  const lines = data.includes('\n') ? data.split('\n').join('\ndata: ') : data;
  return event === undefined ? `data: ${lines}\n\n` : `event: ${event}\ndata: ${lines}\n\n`;
}

async function writeToCaller(options: RelayStreamOptions, text: string): Promise<void> {
  const { request, callerStallMs, signal } = options;
  const { response } = request;
  if (!response.headersSent)
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Cache-Control': 'no-cache',
      'X-Request-Id': request.id,
      [OUTCOME_HEADER]: ExecutionOutcome.run,
    });
  if (response.write(text)) return;
  const stalled = AbortSignal.timeout(callerStallMs);
  await once(response, 'drain', {
    signal: signal === undefined ? stalled : AbortSignal.any([signal, stalled]),
  });
}

/** Relays the events of one answer to its end; returns whether the stream is whole with it. */
async function relayEvents(
  options: RelayStreamOptions,
  state: StreamState,
  answer: BackendResponse,
): Promise<boolean> {
  let text = '';
  const parser = createParser({
    onEvent: (event) => {
      if (state.isDone || !takeEventId(state, event.id)) return;
      if (event.data === DONE) state.isDone = true;
      if (takeUsage(state, event.data) && !options.wantsUsage) return;
      text += formatEvent(event);
    },
  });
  const decoder = new TextDecoder();
  for await (const chunk of answer.body as AsyncIterable<Buffer>) {
    parser.feed(decoder.decode(chunk, { stream: true }));
    if (text === '') continue;
    const ready = text;
    text = '';
    await writeToCaller(options, ready);
  }
  return state.isDone;
}

/**
 * Relays a stream to its caller event by event. A stream that is cut is resumed after the last event;
 * where that fails it rejects with BackendServerError, and the caller never sees the end event.
 */
export async function relayStream(
  options: RelayStreamOptions,
  first: BackendResponse,
): Promise<RelayedStream> {
  const { request, signal } = options;
  const state: StreamState = { lastNumber: 0, isDone: false };
  let answer = first;
  for (let resumes = 0; ; resumes += 1) {
    let cause: unknown = 'it ended early';
    try {
      if (await relayEvents(options, state, answer)) break;
    } catch (error) {
      cause = error;
    }
    if (signal?.aborted === true) throw signal.reason;
    const { lastEventId } = state;
    if (lastEventId === undefined || resumes >= MAX_RESUMES || request.response.destroyed)
      throw new BackendServerError(`the stream was cut: ${formatError(cause)}`);
    answer = await options.open(lastEventId);
    if (answer.status !== 200) throw new BackendServerError('the stream could not be resumed');
  }
  request.response.end();
  return state.tokens === undefined ? {} : { tokens: state.tokens };
}
