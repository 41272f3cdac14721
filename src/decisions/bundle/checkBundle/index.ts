import { left, right, type Either } from 'fp-ts/lib/Either.js';
import { checkCapacity } from '../_lib/checkCapacity.js';
import { checkReferences, type UnlocatedFinding } from '../_lib/checkReferences.js';
import {
  findLine,
  formatPath,
  parseLocatedDocument,
  type LocatedDocument,
} from '../_lib/findLine.js';
import { bundleSchema, type Bundle, type Finding } from '../types.js';

function resolveFindings(located: LocatedDocument, findings: UnlocatedFinding[]): Finding[] {
  return findings.map(({ path, message }) => ({
    path: formatPath(path),
    line: findLine(located, path),
    message,
  }));
}

/** Parses and checks a bundle's YAML; returns all findings with path and line on the left. */
export function checkBundle(text: string): Either<Finding[], Bundle> {
  const located = parseLocatedDocument(text);
  if (located.document.errors.length > 0)
    return left(
      located.document.errors.map((error) => ({
        path: '',
        line: located.lineCounter.linePos(error.pos[0]).line,
        message: error.message.split('\n')[0] ?? error.code,
      })),
    );
  const parsed = bundleSchema.safeParse(located.document.toJS());
  if (!parsed.success) return left(resolveFindings(located, parsed.error.issues));
  const findings = [...checkReferences(parsed.data), ...checkCapacity(parsed.data)];
  return findings.length > 0 ? left(resolveFindings(located, findings)) : right(parsed.data);
}
