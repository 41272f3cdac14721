import { setTimeout as wait } from 'node:timers/promises';
import type { ServerResponse } from 'node:http';

/** One generation; its events are kept, so that a reader can resume after any event number. */
export interface Generation {
  id: string;
  /** Data of each event in order; the first event has number 1. */
  events: string[];
  isEnded: boolean;
  isCancelled: boolean;
  readers: number;
  /** Resolves `changed`. */
  notify: () => void;
  /** Resolves when an event is added or the generation ends; it is then replaced. */
  changed: Promise<void>;
}

/** Generations of an engine stand-in and their event streams. */
export interface Streams {
  create: () => Generation;
  find: (id: string) => Generation | undefined;
  addEvent: (generation: Generation, data: string) => void;
  end: (generation: Generation) => void;
  /**
   * Writes the events after a number until the generation ends. After a reader has disconnected, the
   * generation is cancelled unless a reader resumes it within the resume window. With `cutAfter`, the
   * connection is closed after that many events.
   */
  serve: (
    generation: Generation,
    after: number,
    response: ServerResponse,
    cutAfter?: number,
  ) => Promise<void>;
  countCancelled: () => number;
}

/** Time for which an abandoned or ended generation can be resumed. */
const RESUME_WINDOW_MS = 1000;

/** Creates an empty collection of generations, whose ids begin with the given prefix. */
export function createStreams(prefix: string): Streams {
  const generations = new Map<string, Generation>();
  let generationCount = 0;
  let cancelledCount = 0;

  const notifyReaders = (generation: Generation): void => {
    const { notify } = generation;
    generation.changed = new Promise((resolve) => {
      generation.notify = resolve;
    });
    notify();
  };

  const cancelIfAbandoned = async (generation: Generation): Promise<void> => {
    await wait(RESUME_WINDOW_MS);
    if (generation.readers > 0 || generation.isEnded) return;
    generation.isCancelled = true;
    cancelledCount += 1;
    generations.delete(generation.id);
  };

  return {
    create: () => {
      generationCount += 1;
      const generation: Generation = {
        id: `${prefix}-${generationCount}`,
        events: [],
        isEnded: false,
        isCancelled: false,
        readers: 0,
        notify: () => undefined,
        changed: Promise.resolve(),
      };
      notifyReaders(generation);
      generations.set(generation.id, generation);
      return generation;
    },
    find: (id) => generations.get(id),
    addEvent: (generation, data) => {
      generation.events.push(data);
      notifyReaders(generation);
    },
    end: (generation) => {
      generation.isEnded = true;
      notifyReaders(generation);
      setTimeout(() => generations.delete(generation.id), RESUME_WINDOW_MS).unref();
    },
    serve: async (generation, after, response, cutAfter) => {
      generation.readers += 1;
      let nextIndex = after;
      let writtenCount = 0;
      response.once('close', () => {
        generation.readers -= 1;
        if (!response.writableFinished) void cancelIfAbandoned(generation);
      });
      while (!response.destroyed) {
        while (nextIndex < generation.events.length) {
          if (cutAfter !== undefined && writtenCount >= cutAfter) {
            response.destroy();
            return;
          }
          const data = generation.events[nextIndex] ?? '';
          nextIndex += 1;
          writtenCount += 1;
          if (!response.write(`id: ${generation.id}/${nextIndex}\ndata: ${data}\n\n`))
            await Promise.race([
              new Promise((resolve) => response.once('drain', resolve)),
              new Promise((resolve) => response.once('close', resolve)),
            ]);
        }
        if (generation.isEnded) break;
        await generation.changed;
      }
      response.end();
    },
    countCancelled: () => cancelledCount,
  };
}
