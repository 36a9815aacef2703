import { accountId, dataCentreId, endpointId, hostId, Rng, serviceId } from "@wisteriapick/core";
import { SubsetPlacement } from "@wisteriapick/policy";

const dataCentre = dataCentreId("accra-osu");
const service = serviceId("scribe");
const placement = new SubsetPlacement({ entry: "my-proxy", dataCentre, rng: new Rng(1) });
const endpoint = endpointId("scribe-01");
placement.setEndpoint({ endpoint, service, host: hostId("osu-01"), dataCentre });
export const chosen = placement.choose({
  service,
  account: accountId("museum-shop"),
  versions: [],
  promptTokens: 40,
  prefixes: [],
  expectedTokens: 200,
  excluded: new Set(),
}, performance.now());
