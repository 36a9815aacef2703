/**
 * Runs steps that release what something occupies.
 *
 * @module
 */

/**
 * Runs all steps in order, also those after one that raises.
 *
 * @throws the first error that a step raised, after the last step.
 */
export function runAll(steps: readonly (() => void)[]): void {
  const errors: unknown[] = [];
  for (const step of steps) {
    try {
      step();
    } catch (e) {
      errors.push(e);
    }
  }
  if (errors.length > 0) throw errors[0];
}
