/** Prefill speed that the operators state for their engines. */
export const PROMPT_TOKENS_PER_MS = 38.7;

/** Part of an engine's memory that requests may reserve; the rest is for running requests that grow. */
export const USABLE_MEMORY_FRACTION = 0.9;
