/** Limit of the heap and of open descriptors of this process. */
export interface ProcessLimits {
  heapBytes: number;
  /** Infinity if not known. */
  descriptors: number;
}

const MEMORY_SHARE = 0.2; // a heap of 160 MB leaves 33 MB to clients within a machine of 210 MB
const HEAP_BYTES_PER_CONNECTION = 100_000; // gives the smallest hosts about as many as their descriptors allow
const DESCRIPTOR_SHARE = 0.75; // the rest is kept free for the store, peers and engines

/** Computes the defaults of the memory for clients and of the number of their connections. */
export function computeClientLimits({ heapBytes, descriptors }: ProcessLimits): {
  memoryBytes: number;
  maximumConnections: number;
} {
  return {
    memoryBytes: Math.floor(MEMORY_SHARE * heapBytes),
    maximumConnections: Math.floor(
      Math.min(heapBytes / HEAP_BYTES_PER_CONNECTION, DESCRIPTOR_SHARE * descriptors),
    ),
  };
}
