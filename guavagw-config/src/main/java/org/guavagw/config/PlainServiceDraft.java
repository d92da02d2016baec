package org.guavagw.config;

import static org.guavagw.config.GatewayConfigs.append;

import java.util.List;

/** Builder of a {@link PlainServiceConfig}. Immutable: each call returns a new draft. */
public record PlainServiceDraft(PlainServiceConfig build) {
  /** Sets the backend servers that provide it. */
  public PlainServiceDraft offeredBy(String... backendServers) {
    return of(List.of(backendServers), build.calls(), build.microsPerCall());
  }

  /** Sets the price of one call in micro-units of currency. */
  public PlainServiceDraft pricedAt(long microsPerCall) {
    return of(build.backendServers(), build.calls(), microsPerCall);
  }

  /** Allows retries of calls with a method and a path prefix. */
  public PlainServiceDraft repeatable(String method, String pathPrefix) {
    return rule(new CallRule(method, pathPrefix, true));
  }

  /** Forbids retries of calls with a method and a path prefix. */
  public PlainServiceDraft notRepeatable(String method, String pathPrefix) {
    return rule(new CallRule(method, pathPrefix, false));
  }

  private PlainServiceDraft rule(CallRule rule) {
    return of(build.backendServers(), append(build.calls(), rule), build.microsPerCall());
  }

  private PlainServiceDraft of(List<String> servers, List<CallRule> calls, long micros) {
    return new PlainServiceDraft(new PlainServiceConfig(build.id(), servers, calls, micros));
  }
}
