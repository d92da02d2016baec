package org.guavagw.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.guavagw.gateway.internal.admission.QueueSettings;

/**
 * Settings of a gateway process. Immutable.
 *
 * @param nodeName name of this entry in logs
 * @param dataCentre data centre of this entry
 * @param region data centres of this entry's region, this one's included; one of their entries
 *     reads the store for them
 * @param readyAddress address on which the load balancer probes readiness
 * @param readyPath path of the readiness probe
 * @param metricsAddress address on which metrics are served
 * @param peerAddress address to which other entries connect
 * @param peerSecret secret shared by all entries of a deployment
 * @param maxKeyAge maximum age of the control state for accepting API keys; empty for no limit
 * @param configLimit time within which a configuration must be in force everywhere
 * @param sessionTimeout time without requests after which a session ends
 * @param exposureLimit share of a service's requests that a bad version may get during its rollout
 * @param retryRatio retries that all entries together may send per request in the window
 * @param retrySlack additional retries in each window, for all entries together
 * @param retryWindow window of the two limits on retries
 * @param acceptedConfidence confidence in percent from which an answer of the smallest model is
 *     accepted
 * @param shutdownLimit maximum duration of a shutdown
 * @param resources what the machine gives to this process
 * @param queues bounds of the queues of requests that wait for room
 */
public record GatewaySettings(
    String nodeName,
    String dataCentre,
    Set<String> region,
    InetSocketAddress readyAddress,
    String readyPath,
    InetSocketAddress metricsAddress,
    InetSocketAddress peerAddress,
    String peerSecret,
    Optional<Duration> maxKeyAge,
    Duration configLimit,
    Duration sessionTimeout,
    double exposureLimit,
    double retryRatio,
    double retrySlack,
    Duration retryWindow,
    int acceptedConfidence,
    Duration shutdownLimit,
    ProcessResources resources,
    QueueSettings queues) {
  public GatewaySettings {
    region = Set.copyOf(region);
  }
}
