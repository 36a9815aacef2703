/**
 * A signed failure of an engine that is held back while the request may still be repeated at another engine.
 *
 * @module
 */
import { ByteBuffer } from "@wisteriapick/core";
import type { MemoryBudget } from "@wisteriapick/policy";
import type { HeaderList, Responder } from "./inbound.ts";

/** The parts of the memory budget that a held failure uses. */
type ResponseBudget = Pick<
  MemoryBudget,
  "takeResponse" | "releaseResponse" | "responseBufferBytes"
>;

/** Options of {@link KeptFailure}. */
export interface KeptFailureOptions {
  readonly status: number;
  readonly headers: HeaderList;
  readonly budget: ResponseBudget;
}

/** A response that is delivered if no other engine succeeds. Its bytes count in the memory budget until released. */
export class KeptFailure {
  readonly status: number;
  readonly #headers: HeaderList;
  readonly #budget: ResponseBudget;
  #body = new ByteBuffer();

  constructor({ status, headers, budget }: KeptFailureOptions) {
    this.status = status;
    this.#headers = headers;
    this.#budget = budget;
  }

  /** Adds bytes of the body. Returns false if the body is too large to be held any longer. */
  append(chunk: Buffer): boolean {
    this.#body.append(chunk);
    this.#budget.takeResponse(chunk.length);
    return this.#body.length <= this.#budget.responseBufferBytes;
  }

  /** Begins the response to the caller with what is held. Returns whether more may be written now. */
  writeTo(responder: Responder): boolean {
    responder.writeHead(this.status, this.#headers, null);
    const body = this.#body.bytes();
    const mayWrite = body.length === 0 || responder.write(body);
    this.release();
    return mayWrite;
  }

  /** Frees the body. */
  release(): void {
    this.#budget.releaseResponse(this.#body.length);
    this.#body = new ByteBuffer();
  }
}
