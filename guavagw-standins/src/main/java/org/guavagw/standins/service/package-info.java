/** A simulated plain service that records the calls it executes. */
package org.guavagw.standins.service;
