/** Prefill speed that the operators state for their engines. */
export const PROMPT_TOKENS_PER_MS = 38.7;
