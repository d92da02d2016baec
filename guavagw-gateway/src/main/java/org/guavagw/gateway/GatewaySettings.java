package org.guavagw.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

/**
 * Settings of a gateway process. Immutable.
 *
 * @param nodeName name of this entry in logs
 * @param dataCentre data centre of this entry
 * @param readyAddress where the balancer asks whether this entry is ready
 * @param readyPath path of that question
 * @param metricsAddress where metrics are served
 * @param peerAddress where other entries connect
 * @param peerSecret known to all entries of a deployment
 * @param maxKeyAge age of knowledge beyond which keys are not accepted; empty for no bound
 * @param sessionEnd silence after which a session has ended
 * @param repeatRatio repeats that all entries may send for each request of the window
 * @param repeatSlack further repeats in each window, of all entries together
 * @param repeatWindow window of the two bounds on repeats
 * @param acceptedConfidence confidence in percent from which the smallest model's answer is passed
 *     on
 * @param shutdownLimit longest time that a shutdown takes
 */
public record GatewaySettings(
    String nodeName,
    String dataCentre,
    InetSocketAddress readyAddress,
    String readyPath,
    InetSocketAddress metricsAddress,
    InetSocketAddress peerAddress,
    String peerSecret,
    Optional<Duration> maxKeyAge,
    Duration sessionEnd,
    double repeatRatio,
    double repeatSlack,
    Duration repeatWindow,
    int acceptedConfidence,
    Duration shutdownLimit) {}
