package umberslip.settings

import umberslip.http.Documents
import umberslip.http.Fields
import umberslip.http.MalformedMessageException
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The keys of the platform's settings file. */
internal object SettingsKey {
    const val MEMBER = "member"
    const val AREA = "area"
    const val BIND = "bind"
    const val PEER_LISTEN = "peer_listen"
    const val KNOWN = "known"
    const val ADDRESS = "addr"
    const val ENDPOINTS = "endpoints"
    const val SETTINGS = "settings"

    const val NODES = "nodes"
    const val ZONES = "zones"
    const val TEAMS = "teams"
    const val OBJECTIVES = "objectives"
    const val WORKERS = "workers"
    const val STORE = "state"
    const val CLOUD = "cloud"
    const val QUOTA = "quota"
    const val SOCKETS = "sockets"
    const val SKEW_MILLIS = "skew_ms"

    const val HEARTBEAT_INTERVAL_SECONDS = "report_s"
    const val LEASE_SECONDS = "lease_s"
    const val GANG_WAIT_SECONDS = "gang_wait_s"
    const val GANG_PEER_SECONDS = "gang_peer_s"
    const val CANCEL_SECONDS = "cancel_s"

    // The full paths of two settings, for messages that name both.
    const val LEASE_PATH = "$SETTINGS.$WORKERS.$LEASE_SECONDS"
    const val CANCEL_PATH = "$SETTINGS.$WORKERS.$CANCEL_SECONDS"

    const val RPS = "rps"
    const val WRITE_RPS = "write_rps"
    const val VALUE_KB = "value_kb"
    const val TRANSACTION_OPS = "txn_ops"
    const val NEXT = "next"
    const val LIST_LAG_SECONDS = "list_lag_s"

    const val NAME = "name"
    const val CPUS = "cpus"
    const val GPUS = "gpus"
    const val CPUS_MAX = "cpus_max"
    const val GPUS_MAX = "gpus_max"

    const val KIND = "kind"
    const val JOB_CLASS = "class"
    const val WITHIN_SECONDS = "within_s"
    const val TIMES = "times"
    const val KIND_FINISHED = "finished"
    const val KIND_DEADLINE = "deadline"
    const val KIND_STARTED = "wait"
    const val KIND_GUARANTEE = "guarantee"
}

/** Reads and validates the platform's settings file. Ignores unknown settings, since the platform may add some. */
internal object SettingsParser {
    /** With fewer sockets, a controller's own connections would leave too few for users and workers. */
    private const val MIN_SOCKETS = 40

    /** With fewer puts and deletes, writes that have to be atomic would not fit into one transaction. */
    private const val MIN_TRANSACTION_OPS = 4
    private const val BYTES_PER_KB = 1024

    fun parse(json: String): Settings =
        try {
            parseSettings(Fields.of(Documents.readJson(json)))
        } catch (e: MalformedMessageException) {
            throw InvalidSettingsException(e.message ?: "malformed settings")
        }

    private fun parseSettings(file: Fields): Settings {
        val settings = file.map(SettingsKey.SETTINGS)
        val workers = settings.map(SettingsKey.WORKERS)
        val store = settings.map(SettingsKey.STORE)
        val cloud = settings.map(SettingsKey.CLOUD)
        val teams = parseTeams(settings)
        return Settings(
            member = parseMember(file),
            zone = file.text(SettingsKey.AREA),
            bind = parseAddress(file, SettingsKey.BIND),
            peerListen = parseAddress(file, SettingsKey.PEER_LISTEN),
            peers = file.maps(SettingsKey.KNOWN).map(::parsePeer),
            cloudAddress = parseAddress(file.map(SettingsKey.ENDPOINTS), SettingsKey.CLOUD),
            storeAddress = parseAddress(file.map(SettingsKey.ENDPOINTS), SettingsKey.STORE),
            controllerCount = positiveNumber(settings, SettingsKey.NODES).toInt(),
            zones = parseZones(settings),
            teams = teams,
            objectives = settings.mapsOrEmpty(SettingsKey.OBJECTIVES).mapNotNull(::parseObjective),
            workers = parseWorkers(workers),
            storeLimits = parseStoreLimits(store),
            cloudRps = positiveNumber(cloud, SettingsKey.RPS),
            listLag = duration(cloud, SettingsKey.LIST_LAG_SECONDS),
            sockets = parseSockets(settings.map(SettingsKey.QUOTA)),
            skew = (settings.numberOrNull(SettingsKey.SKEW_MILLIS) ?: 0.0).milliseconds,
        )
    }

    private fun parseMember(file: Fields): String {
        val member = file.text(SettingsKey.MEMBER)
        if (member.isEmpty()) throw InvalidSettingsException("${SettingsKey.MEMBER} is empty")
        return member
    }

    private fun parsePeer(fields: Fields) =
        Peer(
            member = fields.text(SettingsKey.MEMBER),
            zone = fields.text(SettingsKey.AREA),
            address = parseAddress(fields, SettingsKey.ADDRESS),
        )

    private fun parseZones(settings: Fields): List<String> =
        settings.textsOrNull(SettingsKey.ZONES)
            ?: throw InvalidSettingsException("${settings.path(SettingsKey.ZONES)} is missing")

    private fun parseTeams(settings: Fields): List<TeamSettings> {
        val teams = settings.maps(SettingsKey.TEAMS).map(::parseTeam)
        val path = settings.path(SettingsKey.TEAMS)
        if (teams.isEmpty()) throw InvalidSettingsException("$path is empty")
        val names = teams.mapTo(HashSet()) { it.name }
        if (names.size != teams.size) throw InvalidSettingsException("$path names a team twice")
        return teams
    }

    private fun parseTeam(fields: Fields) =
        TeamSettings(
            name = fields.text(SettingsKey.NAME),
            cpus = nonNegativeNumber(fields, SettingsKey.CPUS),
            gpus = nonNegativeNumber(fields, SettingsKey.GPUS),
            cpusMax = nonNegativeNumber(fields, SettingsKey.CPUS_MAX).takeIf { it > 0 },
            gpusMax = nonNegativeNumber(fields, SettingsKey.GPUS_MAX).takeIf { it > 0 },
        )

    /** Returns null if this version does not know the kind. */
    private fun parseObjective(fields: Fields): Objective? =
        when (fields.textOrNull(SettingsKey.KIND)) {
            SettingsKey.KIND_FINISHED -> {
                Objective.Finished(fields.text(SettingsKey.JOB_CLASS), duration(fields, SettingsKey.WITHIN_SECONDS))
            }
            SettingsKey.KIND_DEADLINE -> {
                Objective.Deadline(fields.text(SettingsKey.JOB_CLASS), fields.numberOrNull(SettingsKey.TIMES) ?: 1.0)
            }
            SettingsKey.KIND_STARTED -> {
                Objective.Started(fields.text(SettingsKey.JOB_CLASS), duration(fields, SettingsKey.WITHIN_SECONDS))
            }
            SettingsKey.KIND_GUARANTEE -> Objective.Guarantee(duration(fields, SettingsKey.WITHIN_SECONDS))
            else -> null
        }

    private fun parseWorkers(fields: Fields) =
        WorkerSettings(
            heartbeatInterval = duration(fields, SettingsKey.HEARTBEAT_INTERVAL_SECONDS),
            lease = duration(fields, SettingsKey.LEASE_SECONDS),
            assemblyTimeout = duration(fields, SettingsKey.GANG_WAIT_SECONDS),
            gangLossDetection = duration(fields, SettingsKey.GANG_PEER_SECONDS),
            cancel = duration(fields, SettingsKey.CANCEL_SECONDS),
        )

    private fun parseStoreLimits(current: Fields): StoreSettings {
        val announced = if (current.has(SettingsKey.NEXT)) current.map(SettingsKey.NEXT) else null
        return StoreSettings(
            rps = positiveNumber(current, SettingsKey.RPS),
            writeRps = positiveNumber(current, SettingsKey.WRITE_RPS),
            valueBytes = (lowerLimit(current, announced, SettingsKey.VALUE_KB) * BYTES_PER_KB).toInt(),
            transactionOps = parseTransactionOps(current, announced),
            nextRps = lowerLimit(current, announced, SettingsKey.RPS),
            nextWriteRps = lowerLimit(current, announced, SettingsKey.WRITE_RPS),
            blockBytes = (positiveNumber(current, SettingsKey.VALUE_KB) * BYTES_PER_KB).toInt(),
        )
    }

    private fun parseTransactionOps(
        current: Fields,
        announced: Fields?,
    ): Int {
        val ops = lowerLimit(current, announced, SettingsKey.TRANSACTION_OPS).toInt()
        if (ops < MIN_TRANSACTION_OPS) {
            throw InvalidSettingsException("${current.path(SettingsKey.TRANSACTION_OPS)} is below $MIN_TRANSACTION_OPS")
        }
        return ops
    }

    /** Returns the lower of the limit in force and the announced one, or the limit in force if none is announced. */
    private fun lowerLimit(
        current: Fields,
        announced: Fields?,
        name: String,
    ): Double {
        val limit = positiveNumber(current, name)
        if (announced == null || !announced.has(name)) return limit
        return minOf(limit, positiveNumber(announced, name))
    }

    private fun parseSockets(quota: Fields): Int {
        val sockets = positiveNumber(quota, SettingsKey.SOCKETS).toInt()
        if (sockets < MIN_SOCKETS) {
            throw InvalidSettingsException("${quota.path(SettingsKey.SOCKETS)} is below $MIN_SOCKETS")
        }
        return sockets
    }

    private fun duration(
        fields: Fields,
        name: String,
    ): Duration = positiveNumber(fields, name).seconds

    private fun positiveNumber(
        fields: Fields,
        name: String,
    ): Double {
        val number = fields.number(name)
        if (number <= 0) throw InvalidSettingsException("${fields.path(name)} must be above 0")
        return number
    }

    private fun nonNegativeNumber(
        fields: Fields,
        name: String,
    ): Double {
        val number = fields.numberOrNull(name) ?: 0.0
        if (number < 0) throw InvalidSettingsException("${fields.path(name)} must not be below 0")
        return number
    }

    private fun parseAddress(
        fields: Fields,
        name: String,
    ): InetSocketAddress =
        try {
            Settings.parseAddress(fields.text(name))
        } catch (e: InvalidSettingsException) {
            throw InvalidSettingsException("${fields.path(name)}: ${e.message}")
        }
}
