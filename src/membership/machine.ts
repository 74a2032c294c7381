/** Records of the platform's live list, its service registry. The list is eventually consistent. */
import { z } from 'zod';

/** Schema of a live list record. */
export const machineSchema = z.strictObject({
  /** Name of the entry, or of the engine to which the agent is the sidecar. */
  name: z.string(),
  role: z.enum(['entry', 'agent']),
  region: z.string(),
  zone: z.string(),
  place: z.string(),
  address: z.string(),
  /** Port of the protocol between weirvale processes. */
  port: z.number().int(),
  state: z.enum(['live', 'leaving']),
});

/** Live list record of one weirvale process. */
export type Machine = z.infer<typeof machineSchema>;

/** Identity and location of a process. */
export interface ProcessIdentity {
  readonly name: string;
  /** Unique id of this start of the process. */
  readonly incarnation: string;
  readonly region: string;
  readonly zone: string;
  readonly place: string;
}
