/** Revisions of one epoch; 69 thousand million, and 131,072 epochs fit into a safe integer. */
export const REVISIONS_PER_EPOCH = 2 ** 36;
export const MAX_EPOCH = 2 ** 17 - 1;
