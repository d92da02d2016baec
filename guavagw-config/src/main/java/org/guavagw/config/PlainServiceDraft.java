package org.guavagw.config;

import static org.guavagw.config.GatewayConfigs.append;

import java.util.List;

/** A plain service as it is written. Immutable. */
public record PlainServiceDraft(PlainServiceConfig build) {
  /** Names the backend servers that offer it. */
  public PlainServiceDraft offeredBy(String... backendServers) {
    return of(List.of(backendServers), build.calls(), build.microsPerCall());
  }

  /** Sets the price of a call in micro-units of currency. */
  public PlainServiceDraft pricedAt(long microsPerCall) {
    return of(build.backendServers(), build.calls(), microsPerCall);
  }

  /** Says that calls of a method below a path may be repeated. */
  public PlainServiceDraft repeatable(String method, String pathPrefix) {
    return rule(new CallRule(method, pathPrefix, true));
  }

  /** Says that calls of a method below a path may not be repeated. */
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
