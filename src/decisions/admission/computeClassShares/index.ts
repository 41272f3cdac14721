import type { AdmissionClass } from '../types.js';

/** Compares classes: the one that is refused last comes first. */
export function compareClasses(one: AdmissionClass, other: AdmissionClass): number {
  return one.priority - other.priority || one.targetMs - other.targetMs;
}

/** Work of one class, and how much of it is refused in any case. */
export interface ClassWork {
  work: number;
  /** Work of organisations above their share; refused before that of others. */
  excess: number;
}

/**
 * Evens out the refused fractions, so that no class has a higher one than a later class has; the total
 * stays the same (pooled adjacent violators).
 */
function applyOrder(classes: readonly { work: number; refused: number }[]): number[] {
  const pools: { work: number; refused: number; count: number }[] = [];
  for (const item of classes) {
    let pool = { ...item, count: 1 };
    for (;;) {
      const last = pools.at(-1);
      if (last === undefined || last.refused * pool.work <= pool.refused * last.work) break;
      pools.pop();
      pool = {
        work: last.work + pool.work,
        refused: last.refused + pool.refused,
        count: last.count + pool.count,
      };
    }
    pools.push(pool);
  }
  return pools.flatMap(({ work, refused, count }) =>
    Array.from({ length: count }, () => (work > 0 ? refused / work : 0)),
  );
}

/**
 * Computes the refused fraction of each class, the most urgent class first. Answers waves above what
 * the engines process, in which all classes would be late together: what organisations ask for above
 * their shares is refused first, then the least urgent and most patient classes, down to the fraction
 * that each class keeps. No class is refused more than a later one.
 */
export function computeRefusedFractions(
  classes: readonly ClassWork[],
  { refusedWork, keptShare }: { refusedWork: number; keptShare: number },
): number[] {
  let rest = refusedWork - classes.reduce((sum, { excess }) => sum + excess, 0);
  const refused = classes.map(({ excess }) => excess);
  for (let index = classes.length - 1; index >= 0 && rest > 0; index -= 1) {
    const { work = 0, excess = 0 } = classes[index] ?? {};
    const taken = Math.min(rest, Math.max(0, (1 - keptShare) * work - excess));
    refused[index] = excess + taken;
    rest -= taken;
  }
  return applyOrder(classes.map(({ work }, index) => ({ work, refused: refused[index] ?? 0 })));
}
