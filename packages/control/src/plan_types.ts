/**
 * Plans: the intent of an operator, its preview, and the preconditions of the plan.
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

/** Content of the file of `plan apply FILE.yaml`. Entities that the file does not name remain unchanged. */
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

/** Load of one service and the allowance of its remaining endpoints, in concurrent requests. */
export const LoadLineSchema = z.object({
  service: z.string(),
  mustBear: z.number(),
  canBear: z.number(),
  endpoints: z.number(),
}).strict();

/** A plan as it is stored and shown. */
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
  /** Preconditions of the plan, by name. Only a change of one of these makes the plan stale. */
  ground: z.record(z.string(), z.string()),
}).strict();

export type ApplyFile = z.output<typeof ApplyFileSchema>;
export type Intent = z.output<typeof IntentSchema>;
export type LoadLine = z.output<typeof LoadLineSchema>;
export type Plan = z.output<typeof PlanSchema>;
