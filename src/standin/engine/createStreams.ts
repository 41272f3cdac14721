import { setTimeout as wait } from 'node:timers/promises';
import type { ServerResponse } from 'node:http';

/** One generation, whose events can be read again from any number on. */
export interface Generation {
  id: string;
  /** Data of each event, in order; the first has number 1. */
  events: string[];
  isEnded: boolean;
  isCancelled: boolean;
  readers: number;
  notify: () => void;
  changed: Promise<void>;
}

/** Generations of an engine stand-in. */
export interface Streams {
  create: () => Generation;
  find: (id: string) => Generation | undefined;
  addEvent: (generation: Generation, data: string) => void;
  end: (generation: Generation) => void;
  /** Writes events after a number until the end; a reader that leaves may come back for a while. */
  serve: (
    generation: Generation,
    after: number,
    response: ServerResponse,
    cutAfter?: number,
  ) => Promise<void>;
  countCancelled: () => number;
}

const RESUME_MS = 1000;

/** Creates streams without generations. */
export function createStreams(prefix: string): Streams {
  const generations = new Map<string, Generation>();
  let count = 0;
  let cancelled = 0;

  const renew = (generation: Generation): void => {
    const { notify } = generation;
    generation.changed = new Promise((resolve) => {
      generation.notify = resolve;
    });
    notify();
  };

  const cancelIfLeft = async (generation: Generation): Promise<void> => {
    await wait(RESUME_MS);
    if (generation.readers > 0 || generation.isEnded) return;
    generation.isCancelled = true;
    cancelled += 1;
    generations.delete(generation.id);
  };

  return {
    create: () => {
      count += 1;
      const generation: Generation = {
        id: `${prefix}-${count}`,
        events: [],
        isEnded: false,
        isCancelled: false,
        readers: 0,
        notify: () => undefined,
        changed: Promise.resolve(),
      };
      renew(generation);
      generations.set(generation.id, generation);
      return generation;
    },
    find: (id) => generations.get(id),
    addEvent: (generation, data) => {
      generation.events.push(data);
      renew(generation);
    },
    end: (generation) => {
      generation.isEnded = true;
      renew(generation);
      setTimeout(() => generations.delete(generation.id), RESUME_MS).unref();
    },
    serve: async (generation, after, response, cutAfter) => {
      generation.readers += 1;
      let next = after;
      let written = 0;
      response.once('close', () => {
        generation.readers -= 1;
        if (!response.writableFinished) void cancelIfLeft(generation);
      });
      while (!response.destroyed) {
        while (next < generation.events.length) {
          if (cutAfter !== undefined && written >= cutAfter) {
            response.destroy();
            return;
          }
          const data = generation.events[next] ?? '';
          next += 1;
          written += 1;
          if (!response.write(`id: ${generation.id}/${next}\ndata: ${data}\n\n`))
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
    countCancelled: () => cancelled,
  };
}
