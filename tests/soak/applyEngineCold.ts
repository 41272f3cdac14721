import { setTimeout as wait } from 'node:timers/promises';
import { COLD_SERVICE, COLD_START_MS } from './buildSoakConfiguration.js';
import type { SoakEngine, SoakFleet } from './startSoakFleet.js';
import type { Fault, SoakRecord } from './types.js';

const RENEWAL_MS = 1200; // engines renew their registrations this often

/** Lets an engine turn cold, in place or by a restart, and tell it by registrations and perhaps in responses. */
export async function applyEngineCold(
  fleet: SoakFleet,
  record: SoakRecord,
  { engine, buildRegistration }: SoakEngine,
  { how, forMs }: Fault,
): Promise<void> {
  if (how === 'restarted') {
    record.restarts.push({ engine: engine.id, atMs: performance.now() });
    engine.restart();
    engine.models.set('oak', new Set());
  }
  const fromMs = performance.now();
  const { born, service } = buildRegistration();
  const toMs = fromMs + Math.min(forMs, COLD_START_MS);
  if (service === COLD_SERVICE) record.coldSpans.push({ engine: engine.id, fromMs, toMs });
  // Another fault that restarts the engine ends its cold time.
  while (performance.now() < toMs && buildRegistration().born === born) {
    const restMs = Math.ceil(toMs - performance.now());
    if (how === 'told') engine.setExtraHeaders({ 'cold-ms': String(restMs) });
    const isLeaving = record.departures.some(
      ({ engine: id, toMs }) => id === engine.id && toMs === Infinity,
    );
    const state = isLeaving ? { state: 'draining' } : {};
    // Registrations of other faults have fewer renewals, and say nothing of the cold time.
    const sequence = Math.round(performance.now());
    fleet.store.put(
      `servers/${engine.id}`,
      buildRegistration({ ...state, sequence, cold_remaining_ms: restMs }),
    );
    await wait(Math.min(RENEWAL_MS, restMs));
  }
  if (how === 'told') engine.setExtraHeaders({});
}
