/** Rows of the store for a small deployment with one plain service, "swap-ledger". */
final class Deployment {
  static final String HOST = "desk.example";
  static final String KEY = "k3yoftenant1";

  private Deployment() {}

  static String config(int version) {
    return "{\"version\":" + version
        + ",\"routes\":["
        + route("swap-confirm", "/confirm/", "non_idempotent", 1) + ","
        + route("stock-lookup", "/stock/", "idempotent", 2)
        + "],\"services\":[{\"name\":\"swap-ledger\",\"health_path\":\"/healthz\",\"slots\":6,"
        + "\"max_conns\":110}],"
        + "\"tenants\":[{\"name\":\"shop-1\",\"api_keys\":[\"" + KEY + "\"]}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":5000,\"idle_timeout_ms\":10000}}";
  }

  private static String route(String name, String prefix, String kind, int attempts) {
    return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"prefix\":\"" + prefix
        + "\",\"route_kind\":\"" + kind + "\",\"timeout_ms\":800,\"slo_ms\":121,\"priority\":2,"
        + "\"service\":\"swap-ledger\",\"max_attempts\":" + attempts + "}";
  }

  static String server(int port, String zone, String state, long born, int seq) {
    return "{\"service\":\"swap-ledger\",\"addr\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
        + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"" + state + "\",\"cold_left_ms\":0,"
        + "\"born\":" + born + ",\"seq\":" + seq + "}";
  }
}
