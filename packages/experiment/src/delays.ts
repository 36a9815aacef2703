/**
 * Delays of an experiment, one way.
 *
 * @module
 */

/** Between caller and entry. */
export const CLIENT_DELAY_MS = 1;
/** Between entry and endpoint in one data centre. */
export const LINK_DELAY_MS = 0.5;
/** Further delay to another data centre. */
export const CROSSING_MS = 1;
/** Time in which news of suspects reaches the other entries. */
export const GOSSIP_MS = 3;
