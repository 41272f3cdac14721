import { once } from 'node:events';
import { createParser, type EventSourceMessage } from 'eventsource-parser';
import { BackendServerError, type BackendResponse } from '../../../adapters/backendServer/index.js';
import { OUTCOME_HEADER, type CallerRequest } from '../../../adapters/callerHttp/index.js';
import { formatError, ExecutionOutcome } from '../../../errors/index.js';

/** Data of the event that marks the end of a complete stream. */
const DONE_DATA = '[DONE]';
const MAX_RESUMES = 3;
const MAX_EVENT_CHARACTERS = 1_048_576; // far above the few tokens of an event

/** Options of relaying a stream. */
export interface RelayStreamOptions {
  request: CallerRequest;
  /** Opens the stream, or resumes it after the event with the given id. */
  open: (lastEventId?: string) => Promise<BackendResponse>;
  /** Whether the caller gets events that hold only token usage. */
  wantsUsage: boolean;
  /** Milliseconds for which the caller may stop reading before the stream is aborted. */
  callerStallMs: number;
  /** Aborts when the caller has disconnected or its key was withdrawn. */
  signal?: AbortSignal;
}

/** Result of a relayed stream. */
export interface RelayedStream {
  /** Tokens of prompt and output; omitted when the engine did not report them. */
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

/** Records the id of an event and returns whether the event is new; throws when events are missing before it. */
function recordEventId(state: StreamState, id: string | undefined): boolean {
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

/** Records the token usage in an event; returns true when the event holds nothing else. */
function recordUsage(state: StreamState, data: string): boolean {
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
  const stallSignal = AbortSignal.timeout(callerStallMs);
  await once(response, 'drain', {
    signal: signal === undefined ? stallSignal : AbortSignal.any([signal, stallSignal]),
  });
}

/** Relays the events of one response to its end; returns whether the stream is complete. */
async function relayEvents(
  options: RelayStreamOptions,
  state: StreamState,
  backendResponse: BackendResponse,
): Promise<boolean> {
  let text = '';
  const parser = createParser({
    maxBufferSize: MAX_EVENT_CHARACTERS,
    onError: ({ type }) => {
      if (type === 'max-buffer-size-exceeded')
        throw new BackendServerError(`no event ends within ${MAX_EVENT_CHARACTERS} characters`);
    },
    onEvent: (event) => {
      if (state.isDone || !recordEventId(state, event.id)) return;
      if (event.data === DONE_DATA) state.isDone = true;
      if (recordUsage(state, event.data) && !options.wantsUsage) return;
      text += formatEvent(event);
    },
  });
  const decoder = new TextDecoder();
  for await (const chunk of backendResponse.body as AsyncIterable<Buffer>) {
    parser.feed(decoder.decode(chunk, { stream: true }));
    if (text === '') continue;
    const completeEvents = text;
    text = '';
    await writeToCaller(options, completeEvents);
  }
  return state.isDone;
}

/**
 * Relays a stream to its caller event by event. An interrupted stream is resumed after the last event. If that
 * fails, it rejects with BackendServerError and sends no end event, so that the caller detects the truncation.
 */
export async function relayStream(
  options: RelayStreamOptions,
  firstResponse: BackendResponse,
): Promise<RelayedStream> {
  const { request, signal } = options;
  const state: StreamState = { lastNumber: 0, isDone: false };
  let backendResponse = firstResponse;
  for (let resumes = 0; ; resumes += 1) {
    let cause: unknown = 'it ended early';
    try {
      if (await relayEvents(options, state, backendResponse)) break;
    } catch (error) {
      cause = error;
    }
    if (signal?.aborted === true) throw signal.reason;
    const { lastEventId } = state;
    if (lastEventId === undefined || resumes >= MAX_RESUMES || request.response.destroyed)
      throw new BackendServerError(`the stream was cut: ${formatError(cause)}`);
    backendResponse = await options.open(lastEventId);
    if (backendResponse.status !== 200)
      throw new BackendServerError('the stream could not be resumed');
  }
  request.response.end();
  return state.tokens === undefined ? {} : { tokens: state.tokens };
}
