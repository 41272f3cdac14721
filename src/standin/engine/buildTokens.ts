import { hashText } from '../../decisions/bundle/hashText/index.js';

const DIGITS = 8;

/**
 * Builds the tokens that an engine stand-in answers to a prompt. They follow from the prompt alone,
 * so that a caller can tell a whole answer to its own request from any other.
 */
export function buildTokens(prompt: string, count: number): string[] {
  const digest = hashText(prompt).slice(0, DIGITS);
  return Array.from({ length: count }, (_unused, index) => ` ${digest}-${index}`);
}
