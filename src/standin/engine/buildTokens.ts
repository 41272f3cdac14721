import { hashText } from '../../decisions/bundle/hashText/index.js';

const DIGEST_DIGITS = 8;

/**
 * Builds the tokens that an engine stand-in generates for a prompt. They are derived from the prompt
 * alone, so that a caller can verify that a response is complete and belongs to its own request.
 */
export function buildTokens(prompt: string, count: number): string[] {
  const digest = hashText(prompt).slice(0, DIGEST_DIGITS);
  return Array.from({ length: count }, (_unused, index) => ` ${digest}-${index}`);
}
