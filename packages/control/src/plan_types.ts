/**
 * Plans: what an operator wants, what would change, and the ground the plan stands on.
 *
 * @module
 */
import { dataCentreId, moveId, planId, revision, serviceId, versionId } from "@wisteriapick/core";
import { z } from "zod";
import {
  AccountSchema,
  DataCentreSchema,
  EndpointSchema,
  ServiceSchema,
} from "./config_document.ts";

/** What `plan apply FILE.yaml` puts. Entities that the file does not name stay as they are. */
export const ApplyFileSchema = z.object({
  services: z.array(ServiceSchema).default([]),
  accounts: z.array(AccountSchema).default([]),
  dataCentres: z.array(DataCentreSchema.omit({ state: true, sinceMs: true })).default([]),
  endpoints: z.array(EndpointSchema).default([]),
}).strict();

/** An operator's intent. Times are Unix ms. */
export const IntentSchema = z.discriminatedUnion("type", [
  z.object({ type: z.literal("out"), dataCentre: z.string().transform((s) => dataCentreId(s)) }),
  z.object({ type: z.literal("in"), dataCentre: z.string().transform((s) => dataCentreId(s)) }),
  z.object({
    type: z.literal("move"),
    service: z.string().transform((s) => serviceId(s)),
    from: z.string().transform((s) => versionId(s)),
    to: z.string().transform((s) => versionId(s)),
    byMs: z.number(),
  }),
  z.object({ type: z.literal("apply"), file: ApplyFileSchema }),
  z.object({ type: z.literal("take_back"), move: z.string().transform((s) => moveId(s)) }),
]);

/** What the rest must bear against what it can bear, for one service. Concurrent requests. */
export const LoadLineSchema = z.object({
  service: z.string(),
  mustBear: z.number(),
  canBear: z.number(),
  endpoints: z.number(),
}).strict();

/** A plan, as stored. */
export const PlanSchema = z.object({
  id: z.string().transform((s) => planId(s)),
  who: z.string(),
  createdAtMs: z.number(),
  baseRevision: z.number().transform((n) => revision(n)),
  intent: IntentSchema,
  changes: z.array(z.string()),
  load: z.array(LoadLineSchema),
  unknown: z.array(z.string()),
  warnings: z.array(z.string()),
  /** State the plan stands on, by name. Only a change of these makes it stale. */
  ground: z.record(z.string(), z.string()),
}).strict();

export type ApplyFile = z.output<typeof ApplyFileSchema>;
export type Intent = z.output<typeof IntentSchema>;
export type LoadLine = z.output<typeof LoadLineSchema>;
export type Plan = z.output<typeof PlanSchema>;
