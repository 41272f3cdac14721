/** A prompt on a server, as far as it makes other streams pause. */
export interface PromptHarmOptions {
  /** Fraction by which the server's share of slow streams exceeds that of others, from 0 to 1. */
  slowShare: number;
  /** Tokens of the prompt that are not cached on the server. */
  promptTokens: number;
  /** Requests in flight on the server. */
  active: number;
}

const HARM_MS = 500; // the same as for a stream that itself pauses for too long
const CHUNK_TOKENS = 2048; // a prompt of one chunk delays each stream by one long step

/**
 * Computes how many milliseconds of delay a prompt counts for on a server for what it does to the
 * streams there. Answers the load of long prompts beside short streams on engines of different
 * speeds: a chunk of a prompt makes all streams of its engine wait, and on a slower engine for longer
 * than their callers accept. Prompts without a pause target of their own count as well.
 */
export function computePromptHarmCost(options: PromptHarmOptions): number {
  const { slowShare, promptTokens, active } = options;
  // Counted once: the slow server would be left idle, and the others overloaded, with a cost for each stream.
  return active > 0 ? HARM_MS * slowShare * Math.min(1, promptTokens / CHUNK_TOKENS) : 0;
}
