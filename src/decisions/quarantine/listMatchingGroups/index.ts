/** Lists the groups of which a prompt holds every part. */
export function listMatchingGroups<Group extends { parts: readonly string[] }>(
  groups: readonly Group[],
  promptParts: readonly string[],
): Group[] {
  if (groups.length === 0) return [];
  const held = new Set(promptParts);
  return groups.filter(({ parts }) => parts.every((part) => held.has(part)));
}
